package org.lavenderstage.entry.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lavenderstage.core.membership.HeardMember;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.core.membership.MembershipView;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/**
 * Maintains the view of the live entries, and sends heartbeats to each entry that the VM list names
 * or whose own heartbeats have been received lately.
 */
public final class Membership implements AutoCloseable {
  private static final int TIMEOUT_HEARTBEATS = 4;

  private final Supplier<Member> self;
  private final VmDirectory directory;
  private final PublishedSlotState slotState;
  private final int heartbeatMillis;
  private final MembershipView view;
  private final Map<String, HeartbeatSender> senders = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private BackgroundThread thread;

  /**
   * Creates a view that contains this entry only.
   *
   * @param self returns the present description of this entry
   * @param directory the platform's list of VMs
   * @param slotState slot state that is sent with each heartbeat
   * @param heartbeatMillis time between heartbeats in milliseconds
   */
  public Membership(
      Supplier<Member> self,
      VmDirectory directory,
      PublishedSlotState slotState,
      int heartbeatMillis) {
    this.self = self;
    this.directory = directory;
    this.slotState = slotState;
    this.heartbeatMillis = heartbeatMillis;
    this.view = new MembershipView(self.get(), (long) heartbeatMillis * TIMEOUT_HEARTBEATS);
  }

  /** Starts the thread that maintains the heartbeat senders. */
  public void start() {
    thread = new BackgroundThread("membership", this::updateSenders);
  }

  private void updateSenders() throws InterruptedException {
    String ownAddress = self.get().peerAddress();
    Set<String> wantedAddresses =
        directory.vms(VmRole.ENTRY).stream().map(VmEntry::address).collect(Collectors.toSet());
    live().forEach(member -> wantedAddresses.add(member.peerAddress()));
    wantedAddresses.remove(ownAddress);
    for (String address : wantedAddresses) {
      senders.computeIfAbsent(
          address, key -> new HeartbeatSender(key, this::heartbeat, slotState, heartbeatMillis));
    }
    for (String address : Set.copyOf(senders.keySet())) {
      if (!wantedAddresses.contains(address)) {
        senders.remove(address).close();
      }
    }
    TimeUnit.MILLISECONDS.sleep(heartbeatMillis);
  }

  private Heartbeat heartbeat() {
    Member current = self.get();
    return new Heartbeat(
        current.entry(),
        current.vm(),
        current.domain(),
        current.peerAddress(),
        sequence.incrementAndGet(),
        current.sheetVersion(),
        current.configOffset(),
        current.configDigest(),
        current.draining());
  }

  /**
   * Records a peer's heartbeat.
   *
   * @param heartbeat heartbeat of a peer
   */
  public synchronized void recordHeartbeat(Heartbeat heartbeat) {
    Member member =
        new Member(
            heartbeat.entry(),
            heartbeat.vm(),
            heartbeat.domain(),
            heartbeat.peerAddress(),
            heartbeat.sheetVersion(),
            heartbeat.configOffset(),
            heartbeat.configDigest(),
            heartbeat.draining());
    view.recordHeartbeat(member, nowMillis());
  }

  /**
   * Returns the live entries.
   *
   * @return this entry and its live peers
   */
  public synchronized List<Member> live() {
    return view.live(nowMillis());
  }

  /**
   * Returns the known peers with the time since their last heartbeat, including unresponsive ones.
   *
   * @return the peers whose last heartbeat was received within the last minutes
   */
  public synchronized List<HeardMember> heardMembers() {
    return view.heardMembers(nowMillis());
  }

  /**
   * Finds the peer address of an entry.
   *
   * @param vm VM of the entry
   * @return host and port of its peer link, empty if no live entry runs on the VM
   */
  public Optional<String> peerAddress(String vm) {
    return live().stream()
        .filter(member -> member.vm().equals(vm))
        .map(Member::peerAddress)
        .findFirst();
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
    senders.values().parallelStream().forEach(HeartbeatSender::close);
  }
}
