package org.lavenderstage.entry.config;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetSync;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.entry.admin.StateDump;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.entry.peer.PeerLink;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.SheetQuery;
import org.lavenderstage.wire.peer.SheetReply;

/** Keeps this entry's configuration current, from the log and, if the log lags, from peers. */
public final class ConfigurationSync implements AutoCloseable {
  private static final long STEP_MILLIS = 50;
  private static final int LINK_TIMEOUT_MILLIS = 1_000;

  private final Configuration configuration;
  private final StreamReplica<SheetLedger> replica;
  private final EndTrackingLog log;
  private final Supplier<List<Member>> members;
  private final IntSupplier otherEntryCount;
  private final SheetSync sync;
  private boolean reportedCurrent;
  private BackgroundThread thread;

  /**
   * Creates a synchronization that does not run yet.
   *
   * @param configuration configuration of this entry
   * @param replica this entry's replica of the configuration stream
   * @param log the log that the replica reads
   * @param members returns the live entries including this one
   * @param otherEntryCount returns the number of other entries in the VM list
   * @param staleMillis time for which evidence that the configuration is current stays valid, in
   *     milliseconds
   */
  public ConfigurationSync(
      Configuration configuration,
      StreamReplica<SheetLedger> replica,
      EndTrackingLog log,
      Supplier<List<Member>> members,
      IntSupplier otherEntryCount,
      long staleMillis) {
    this.configuration = configuration;
    this.replica = replica;
    this.log = log;
    this.members = members;
    this.otherEntryCount = otherEntryCount;
    this.sync = new SheetSync(staleMillis);
  }

  /** Starts the thread that synchronizes. */
  public void start() {
    thread = new BackgroundThread("config-sync", this::synchronizeOnce);
  }

  private void synchronizeOnce() throws InterruptedException {
    checkLogEnd();
    Optional<String> peer;
    synchronized (sync) {
      sync.recordVersionInForce(configuration.inForce().version());
      peer = sync.nextFetch(nowMillis());
    }
    peer.ifPresent(this::fetch);
    logWhetherCurrent();
    TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
  }

  private void checkLogEnd() {
    Optional<EndTrackingLog.ObservedEnd> end = log.lastEnd();
    boolean upToDate =
        end.isPresent()
            && replica.read(stream -> stream.nextOffset()) >= end.get().endOffset()
            && replica.read(stream -> stream.stateMachine().current().version())
                <= configuration.inForce().version();
    if (upToDate) {
      synchronized (sync) {
        sync.recordLogRead(end.get().readAtMillis());
      }
    }
  }

  private void fetch(String peer) {
    Optional<Member> member =
        members.get().stream().filter(candidate -> candidate.entry().equals(peer)).findFirst();
    boolean fetched = member.isPresent() && fetch(member.get());
    if (!fetched) {
      synchronized (sync) {
        sync.fetchFailed(peer, nowMillis());
      }
    }
  }

  private boolean fetch(Member member) {
    SheetQuery query = new SheetQuery(configuration.inForce().version());
    try (PeerLink link = new PeerLink(member.peerAddress(), LINK_TIMEOUT_MILLIS)) {
      boolean adopted =
          link.exchange(query).filter(reply -> reply instanceof SheetReply).stream()
              .anyMatch(reply -> adopt((SheetReply) reply));
      EventLog.info(
          adopted ? LogEvent.SHEET_FETCHED : LogEvent.SHEET_FETCH_FAILED, "peer", member.entry());
      return adopted;
    } catch (IOException e) {
      EventLog.info(LogEvent.SHEET_FETCH_FAILED, "peer", member.entry(), "cause", e.getMessage());
      return false;
    }
  }

  private boolean adopt(SheetReply reply) {
    if (!StateDigest.sha256Hex(reply.text()).equals(reply.digest())) {
      return false;
    }
    return configuration.adopt(
        new SheetVersion(reply.version(), reply.text(), reply.digest(), reply.committedAtMillis()));
  }

  private void logWhetherCurrent() {
    boolean current = isCurrent();
    if (current != reportedCurrent) {
      reportedCurrent = current;
      EventLog.info(
          current ? LogEvent.SHEET_CURRENT : LogEvent.SHEET_STALE,
          "version",
          configuration.inForce().version());
    }
  }

  /**
   * Records the sheet version that a peer's heartbeat announces.
   *
   * @param heartbeat heartbeat of a peer
   */
  public void recordHeartbeat(Heartbeat heartbeat) {
    synchronized (sync) {
      sync.recordPeerVersion(heartbeat.entry(), heartbeat.sheetVersion(), nowMillis());
    }
  }

  /**
   * Answers a peer that asks for a newer version.
   *
   * @param query query with the version that the peer has
   * @return the version in force, without its text if it is not newer
   */
  public SheetReply answer(SheetQuery query) {
    SheetVersion version = configuration.sourceVersion();
    String text = version.version() > query.version() ? version.text() : "";
    return new SheetReply(
        version.version(),
        text,
        version.digest(),
        version.committedAtMillis(),
        replica.read(stream -> stream.nextOffset()));
  }

  /**
   * Returns whether there is evidence that this entry's configuration is the newest one.
   *
   * @return whether the configuration may be used
   */
  public boolean isCurrent() {
    synchronized (sync) {
      sync.recordVersionInForce(configuration.inForce().version());
      return sync.isCurrent(otherEntryCount.getAsInt(), nowMillis());
    }
  }

  /**
   * Returns the state of the configuration for operators.
   *
   * @return the state dump
   */
  public StateDump.ConfigurationDump dump() {
    SheetVersion version = configuration.sourceVersion();
    return replica.read(
        stream ->
            new StateDump.ConfigurationDump(
                version.version(),
                version.digest(),
                version.committedAtMillis(),
                configuration.inForce().sheet().size(),
                isCurrent(),
                stream.stateMachine().pendingSheets(),
                stream.stateMachine().pendingCharacters()));
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
