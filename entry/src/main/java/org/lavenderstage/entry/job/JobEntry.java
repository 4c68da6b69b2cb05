package org.lavenderstage.entry.job;

import com.linecorp.armeria.common.util.EventLoopGroups;
import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import org.lavenderstage.core.pool.Decision;
import org.lavenderstage.core.pool.PoolTiming;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.entry.peer.PeerServer;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.platform.PlatformHttp;
import org.lavenderstage.platform.PlatformStore;
import org.lavenderstage.platform.PlatformWorkers;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.CallQuery;
import org.lavenderstage.wire.peer.OwnershipQuery;
import org.lavenderstage.wire.peer.OwnershipReply;
import org.lavenderstage.wire.peer.PeerMessage;

/** One entry on the users' platform: all its parts, started and stopped in order. */
public final class JobEntry implements AutoCloseable {
  /** How long a former owner without the store and without followers goes on, in milliseconds. */
  private static final long FORMER_OWNER_MILLIS = 2_500;

  /**
   * Length of the leases of runs in milliseconds: some changes of owners long, yet short enough
   * that the tasks of a worker that went dark are back soon.
   */
  private static final long LEASE_MILLIS = 6_000;

  private final NodeSettings settings;
  private final String entry;
  private final EventLoopGroup loops = EventLoopGroups.newEventLoopGroup(1, "io", true);
  private final PlatformHttp http = new PlatformHttp(loops);
  private final PlatformStore store;
  private final ConfigurationWatch configuration;
  private final Members members;
  private final OwnerTerms terms;
  private final OwnerElection election;
  private final CallRouter router;
  private final PeerServer peers;
  private final FrontServer front;
  private final EntryMetrics metrics = new EntryMetrics();
  private volatile boolean draining;

  /**
   * Makes an entry and binds its ports.
   *
   * @param settings what the platform says to this process
   */
  public JobEntry(NodeSettings settings) {
    this.settings = settings;
    entry = new Incarnation(settings.vm(), Time.wallMillis()).toString();
    String peerAddress = settings.ip() + ":" + settings.peerPort();
    store = new PlatformStore(http, settings.storeAddress());
    configuration = new ConfigurationWatch(store);
    members = new Members(store, entry, peerAddress);
    PoolTiming timing =
        new PoolTiming(
            Math.min(LEASE_MILLIS, settings.bounds().longestLease()),
            settings.bounds().thawSlack(),
            FORMER_OWNER_MILLIS);
    terms =
        new OwnerTerms(
            store,
            new PlatformWorkers(http),
            timing,
            settings.bounds().stateRetention(),
            JobEntry::log);
    election =
        new OwnerElection(
            entry, peerAddress, settings.processorMillis(), members, configuration, terms);
    router = new CallRouter(election, terms);
    peers = new PeerServer(settings.ip(), settings.peerPort(), this::peerMessage);
    front =
        new FrontServer(
            settings,
            loops,
            configuration::inForce,
            router,
            this::isReady,
            () -> draining,
            metrics);
  }

  private static void log(Decision decision, Object... namesAndValues) {
    EventLog.info(LogEvent.valueOf(decision.name()), namesAndValues);
  }

  private boolean isReady() {
    return !draining && configuration.inForce().isPresent() && election.owner().term() > 0;
  }

  private Optional<PeerMessage> peerMessage(PeerMessage message) {
    return switch (message) {
      case OwnershipQuery question -> Optional.of(election.answer(question));
      case OwnershipReply announcement -> Optional.of(election.announced(announcement));
      case CallQuery query -> Optional.of(router.forwarded(query));
      default -> Optional.empty();
    };
  }

  /** Tells whether this entry owns the jobs. */
  boolean ownsJobs() {
    return terms.current().isPresent();
  }

  /** Starts to serve. */
  public void start() {
    front.start();
    peers.start();
    configuration.start();
    members.start();
    election.start();
    EventLog.info(
        LogEvent.ENTRY_STARTED,
        "entry",
        entry,
        "front",
        settings.frontPort(),
        "peer",
        settings.peerPort(),
        "store",
        settings.storeAddress());
  }

  /**
   * Takes changed settings; what needs new ports takes effect with the next start.
   *
   * @param changed what the platform says now
   */
  public void reload(NodeSettings changed) {
    store.useAddress(changed.storeAddress());
    EventLog.info(
        LogEvent.SETTINGS_RELOADED,
        "entry",
        entry,
        "store",
        changed.storeAddress(),
        "restart",
        changed.frontPort() != settings.frontPort() || changed.readyPort() != settings.readyPort());
  }

  /** Stops to take new connections and gives up the jobs; what is under way is answered. */
  public void drain() {
    if (!draining) {
      draining = true;
      EventLog.info(LogEvent.ENTRY_DRAINING, "entry", entry);
      election.release();
    }
  }

  @Override
  public void close() {
    drain();
    router.finish();
    front.close();
    election.close();
    router.close();
    peers.close();
    members.close();
    configuration.close();
    EventLog.info(LogEvent.ENTRY_STOPPED, "entry", entry);
  }
}
