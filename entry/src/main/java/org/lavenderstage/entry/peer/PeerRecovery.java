package org.lavenderstage.entry.peer;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.entry.duty.Duty;
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

/** Takes the state of the streams from a peer where this entry starts while the log is down. */
public final class PeerRecovery implements AutoCloseable {
  private static final long STEP_MILLIS = 500;
  private static final int LINK_TIMEOUT_MILLIS = 2000;

  private final String ownAddress;
  private final VmDirectory directory;
  private final List<StreamReplica<?>> replicas;
  private Duty duty;
  private long queries;

  /**
   * Makes a recovery that does nothing yet.
   *
   * @param ownAddress host and port of this entry's peer link
   * @param directory names the peers
   * @param replicas this entry's copies
   */
  public PeerRecovery(String ownAddress, VmDirectory directory, List<StreamReplica<?>> replicas) {
    this.ownAddress = ownAddress;
    this.directory = directory;
    this.replicas = List.copyOf(replicas);
  }

  /** Starts to look for copies that have read nothing and cannot. */
  public void start() {
    duty = new Duty("peer-recovery", this::step);
  }

  private void step() throws InterruptedException {
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
        ask(vm.address(), replica);
      }
    }
  }

  private void ask(String address, StreamReplica<?> replica) {
    queries++;
    try (PeerLink link = new PeerLink(address, LINK_TIMEOUT_MILLIS)) {
      Optional<PeerMessage> reply = link.ask(new SnapshotQuery(queries, replica.stream()));
      if (reply.orElse(null) instanceof SnapshotReply known && known.known()) {
        replica.adoptFromPeer(StateCodec.decode(known.state()));
      }
    } catch (IOException | MalformedMessageException e) {
      EventLog.info(LogEvent.PEER_FAILED, "peer", address, "cause", String.valueOf(e.getMessage()));
    }
  }

  /**
   * Answers a peer that cannot read the log.
   *
   * @param query the peer's question
   * @return this entry's state of the stream, where it has reached the stream's end
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
    if (duty != null) {
      duty.close();
    }
  }
}
