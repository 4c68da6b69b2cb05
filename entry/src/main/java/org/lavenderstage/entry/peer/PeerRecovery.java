package org.lavenderstage.entry.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.peer.SnapshotQuery;
import org.lavenderstage.wire.peer.SnapshotReply;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** Restores the streams from a peer if this entry starts while the log is unavailable. */
public final class PeerRecovery implements AutoCloseable {
  private static final long STEP_MILLIS = 500;
  private static final int LINK_TIMEOUT_MILLIS = 2000;

  private final String ownAddress;
  private final VmDirectory directory;
  private final List<StreamReplica<?>> replicas;
  private BackgroundThread thread;
  private long lastQueryId;

  /**
   * Creates a recovery that does not run yet.
   *
   * @param ownAddress host and port of this entry's peer link
   * @param directory lists the peers
   * @param replicas this entry's replicas of the streams
   */
  public PeerRecovery(String ownAddress, VmDirectory directory, List<StreamReplica<?>> replicas) {
    this.ownAddress = ownAddress;
    this.directory = directory;
    this.replicas = List.copyOf(replicas);
  }

  /**
   * Starts the thread that recovers replicas that are not caught up while the log is unreachable.
   */
  public void start() {
    thread = new BackgroundThread("peer-recovery", this::recoverOnce);
  }

  private void recoverOnce() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
    for (StreamReplica<?> replica : replicas) {
      if (!replica.isCaughtUp() && !replica.isReachable()) {
        recover(replica);
      }
    }
  }

  private void recover(StreamReplica<?> replica) {
    for (VmEntry vm : directory.vms(VmRole.ENTRY)) {
      if (!vm.address().equals(ownAddress) && !replica.isCaughtUp()) {
        requestSnapshot(vm.address(), replica);
      }
    }
  }

  private void requestSnapshot(String address, StreamReplica<?> replica) {
    lastQueryId++;
    try (PeerLink link = new PeerLink(address, LINK_TIMEOUT_MILLIS)) {
      Optional<PeerMessage> reply = link.exchange(new SnapshotQuery(lastQueryId, replica.stream()));
      if (reply.orElse(null) instanceof SnapshotReply snapshotReply && snapshotReply.known()) {
        replica.adoptFromPeer(StateCodec.decode(snapshotReply.state()));
      }
    } catch (IOException | MalformedMessageException e) {
      EventLog.info(LogEvent.PEER_FAILED, "peer", address, "cause", String.valueOf(e.getMessage()));
    }
  }

  /**
   * Answers a peer that cannot read the log.
   *
   * @param query query that names the stream
   * @return this entry's state of the stream; marked as unknown unless its replica is caught up
   */
  public SnapshotReply answer(SnapshotQuery query) {
    return replicas.stream()
        .filter(replica -> replica.stream().equals(query.stream()) && replica.isCaughtUp())
        .findAny()
        .map(
            replica ->
                new SnapshotReply(
                    query.id(),
                    query.stream(),
                    true,
                    StateCodec.encode(replica.read(LedgerStream::snapshot))))
        .orElseGet(() -> new SnapshotReply(query.id(), query.stream(), false, new byte[0]));
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
