package org.lavenderstage.entry.job;

import io.netty.channel.EventLoopGroup;
import java.util.Optional;
import org.lavenderstage.core.pool.Decision;
import org.lavenderstage.core.pool.PoolTiming;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.entry.peer.PeerServer;
import org.lavenderstage.http.EventLoops;
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

/** An entry on the users' platform. Creates its components, and starts and stops them in order. */
public final class JobEntry implements AutoCloseable {
  /**
   * How long a previous owner that has lost the store and its followers may still renew leases, in
   * milliseconds.
   */
  private static final long PREVIOUS_OWNER_RENEWAL_MILLIS = 2_500;

  /**
   * Duration of the leases of runs, in milliseconds, where the platform allows as much. It covers
   * the loss of all entries until the next owner has asked the workers, and workers that are
   * disconnected for some seconds, yet is short enough that the tasks of a worker that is gone soon
   * run elsewhere.
   */
  private static final long RUN_LEASE_MILLIS = 8_000;

  /** Time reserved for sending answers that end the wait for an owner, in milliseconds. */
  private static final long FINAL_ANSWER_MILLIS = 300;

  /** Interval at which the warm-up checks whether this entry is a successor, in milliseconds. */
  private static final long WARMUP_CHECK_MILLIS = 200;

  private final NodeSettings settings;
  private final String entry;
  private final EventLoopGroup eventLoops = EventLoops.create("io");
  private final PlatformHttp http = new PlatformHttp(eventLoops);
  private final PlatformStore store;
  private final PlatformWorkers workers;
  private final ConfigurationWatcher configuration;
  private final Members members;
  private final OwnershipManager ownership;
  private final OwnerElection election;
  private final CallRouter router;
  private final PeerServer peerServer;
  private final FrontServer frontServer;
  private final EntryMetrics metrics = new EntryMetrics();
  private volatile boolean draining;
  private Thread warmupThread;

  /**
   * Creates an entry and its servers.
   *
   * @param settings settings of the platform for this process
   */
  public JobEntry(NodeSettings settings) {
    this.settings = settings;
    entry = new Incarnation(settings.vm(), Clocks.wallMillis()).toString();
    String peerAddress = settings.ip() + ":" + settings.peerPort();
    store = new PlatformStore(http, settings.storeAddress(), settings.storeLimits());
    StoreMonitor storeMonitor = new StoreMonitor(store, Clocks::monotonicMillis);
    configuration = new ConfigurationWatcher(storeMonitor);
    members = new Members(storeMonitor, entry, peerAddress, settings.cpuMillis());
    PoolTiming timing =
        new PoolTiming(
            Math.min(RUN_LEASE_MILLIS, settings.bounds().maxLeaseMillis()),
            settings.bounds().maxLeaseMillis(),
            settings.bounds().leaseOverrunMillis(),
            PREVIOUS_OWNER_RENEWAL_MILLIS);
    workers = new PlatformWorkers(http);
    ownership =
        new OwnershipManager(
            storeMonitor,
            workers,
            timing,
            settings.bounds().stateRetentionMillis(),
            JobEntry::logDecision,
            configuration.evacuations());
    election =
        new OwnerElection(
            entry, peerAddress, settings.cpuMillis(), members, storeMonitor, ownership);
    ClientLimits clients = new ClientLimits(settings.maxDescriptors(), metrics);
    int maxPeers = clients.maxPeerConnections();
    router = new CallRouter(election, ownership, clients.budget().group(maxPeers));
    peerServer =
        new PeerServer(
            settings.ip(),
            settings.peerPort(),
            clients.budget().group(maxPeers),
            this::handlePeerMessage);
    frontServer =
        new FrontServer(
            settings,
            eventLoops,
            configuration::active,
            router,
            this::isReady,
            () -> draining,
            metrics,
            clients);
    metrics.gauge(
        "lavenderstage_evacuated_domains",
        "Failure domains that the operator wants evacuated, as last read.",
        () -> configuration.evacuations().domains().size());
  }

  private static void logDecision(Decision decision, Object... namesAndValues) {
    EventLog.info(LogEvent.valueOf(decision.name()), namesAndValues);
  }

  private void warmUpOwner() {
    OwnerWarmup warmup =
        new OwnerWarmup(workers, eventLoops, this::mayWarmUp, frontServer::requestCount);
    warmupThread =
        Thread.ofPlatform()
            .daemon()
            .name("warmup")
            .start(
                () -> {
                  try {
                    while (!isReady() || !(ownsJobs() || election.isSuccessor())) {
                      Thread.sleep(WARMUP_CHECK_MILLIS);
                    }
                    int completed = warmup.run();
                    EventLog.info(LogEvent.OWNER_WARMED_UP, "entry", entry, "jobs", completed);
                  } catch (InterruptedException e) {
                    // the entry stops
                  } catch (RuntimeException e) {
                    EventLog.warn(LogEvent.DUTY_FAILED, "duty", "warmup", "cause", e);
                  }
                });
  }

  /**
   * Returns whether this entry may spend time on the warm-up: an owner only before its first call.
   */
  private boolean mayWarmUp() {
    return !draining && !ownership.current().map(JobOwner::isUsed).orElse(false);
  }

  private boolean isReady() {
    return !draining && configuration.active().isPresent() && election.owner().term() > 0;
  }

  private Optional<PeerMessage> handlePeerMessage(PeerMessage message) {
    return switch (message) {
      case OwnershipQuery ownershipQuery -> Optional.of(election.handleQuery(ownershipQuery));
      case OwnershipReply announcement -> Optional.of(election.handleAnnouncement(announcement));
      case CallQuery callQuery -> Optional.of(router.handleForwarded(callQuery));
      default -> Optional.empty();
    };
  }

  /** Returns whether this entry owns the jobs. */
  boolean ownsJobs() {
    return ownership.current().isPresent();
  }

  /** Starts serving callers and peers. */
  public void start() {
    frontServer.start();
    peerServer.start();
    configuration.start();
    members.start();
    election.start();
    warmUpOwner();
    EventLog.info(
        LogEvent.ENTRY_STARTED,
        "entry",
        entry,
        "front",
        settings.callerPort(),
        "peer",
        settings.peerPort(),
        "store",
        settings.storeAddress());
  }

  /**
   * Applies changed settings. Changed ports take effect at the next start.
   *
   * @param changed the new settings
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
        changed.callerPort() != settings.callerPort()
            || changed.readinessPort() != settings.readinessPort());
  }

  /** Asks callers to close their connections and releases the jobs; pending requests go on. */
  public void drain() {
    if (!draining) {
      draining = true;
      EventLog.info(LogEvent.ENTRY_DRAINING, "entry", entry);
      election.release();
    }
  }

  /**
   * Stops listening, and answers the requests of the open connections before they are closed.
   * Requests that still wait at the end are answered with what is known about them.
   *
   * @param timeoutMillis longest wait for the answers, in milliseconds
   */
  public void answerPending(long timeoutMillis) {
    if (!frontServer.shutDown(timeoutMillis - FINAL_ANSWER_MILLIS)) {
      router.giveUpPending();
      boolean answered = frontServer.shutDown(FINAL_ANSWER_MILLIS);
      EventLog.info(LogEvent.PENDING_GIVEN_UP, "entry", entry, "answered", answered);
    }
  }

  @Override
  public void close() {
    drain();
    if (warmupThread != null) {
      warmupThread.interrupt();
    }
    answerPending(FINAL_ANSWER_MILLIS);
    frontServer.close();
    election.close();
    router.close();
    peerServer.close();
    members.close();
    configuration.close();
    EventLog.info(LogEvent.ENTRY_STOPPED, "entry", entry);
  }
}
