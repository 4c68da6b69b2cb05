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
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/**
 * Keeps the view of who lives, and a feed of heartbeats to each entry that the VM list names or
 * that was heard from.
 */
public final class Membership implements AutoCloseable {
  private static final int TIMEOUT_HEARTBEATS = 4;

  private final Supplier<Member> self;
  private final VmDirectory directory;
  private final SlotBoard board;
  private final int heartbeatMillis;
  private final MembershipView view;
  private final Map<String, PeerFeed> feeds = new ConcurrentHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private Duty duty;

  /**
   * Makes a view of this entry alone.
   *
   * @param self describes this entry as it is now
   * @param directory the platform's list of VMs
   * @param board slot state that goes with each heartbeat
   * @param heartbeatMillis time between heartbeats in milliseconds
   */
  public Membership(
      Supplier<Member> self, VmDirectory directory, SlotBoard board, int heartbeatMillis) {
    this.self = self;
    this.directory = directory;
    this.board = board;
    this.heartbeatMillis = heartbeatMillis;
    this.view = new MembershipView(self.get(), (long) heartbeatMillis * TIMEOUT_HEARTBEATS);
  }

  /** Starts to send. */
  public void start() {
    duty = new Duty("membership", this::updateFeeds);
  }

  private void updateFeeds() throws InterruptedException {
    String own = self.get().peerAddress();
    Set<String> wanted =
        directory.vms(VmRole.ENTRY).stream().map(VmEntry::address).collect(Collectors.toSet());
    live().forEach(member -> wanted.add(member.peerAddress()));
    wanted.remove(own);
    for (String address : wanted) {
      feeds.computeIfAbsent(
          address, key -> new PeerFeed(key, this::heartbeat, board, heartbeatMillis));
    }
    for (String address : Set.copyOf(feeds.keySet())) {
      if (!wanted.contains(address)) {
        feeds.remove(address).close();
      }
    }
    TimeUnit.MILLISECONDS.sleep(heartbeatMillis);
  }

  private Heartbeat heartbeat() {
    Member me = self.get();
    return new Heartbeat(
        me.entry(),
        me.vm(),
        me.domain(),
        me.peerAddress(),
        sequence.incrementAndGet(),
        me.sheetVersion(),
        me.configOffset(),
        me.configDigest(),
        me.draining());
  }

  /**
   * Takes a peer's heartbeat.
   *
   * @param heartbeat the heartbeat
   */
  public synchronized void heard(Heartbeat heartbeat) {
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
    view.heard(member, nowMillis());
  }

  /**
   * Lists the live entries.
   *
   * @return this entry and its live peers
   */
  public synchronized List<Member> live() {
    return view.live(nowMillis());
  }

  /**
   * Lists the peers with the time since their last heartbeat, silent ones among them.
   *
   * @return the peers that were heard from in the last minutes
   */
  public synchronized List<HeardMember> heardMembers() {
    return view.heardMembers(nowMillis());
  }

  /**
   * Finds where a peer listens.
   *
   * @param vm VM of the peer
   * @return host and port of its peer link, empty where it is not live
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
    if (duty != null) {
      duty.close();
    }
    feeds.values().parallelStream().forEach(PeerFeed::close);
  }
}
