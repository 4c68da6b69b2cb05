package org.lavenderstage.entry.peer;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.core.membership.MembershipView;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** Sends heartbeats to every entry of the VM list and keeps the view of who lives. */
public final class Membership implements AutoCloseable {
  private static final int TIMEOUT_HEARTBEATS = 4;
  private static final int LINK_TIMEOUT_MILLIS = 200;

  private final Supplier<Member> self;
  private final VmDirectory directory;
  private final int heartbeatMillis;
  private final MembershipView view;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private long sequence;
  private Duty duty;

  /**
   * Makes a view of this entry alone.
   *
   * @param self describes this entry as it is now
   * @param directory the platform's list of VMs
   * @param heartbeatMillis time between heartbeats in milliseconds
   */
  public Membership(Supplier<Member> self, VmDirectory directory, int heartbeatMillis) {
    this.self = self;
    this.directory = directory;
    this.heartbeatMillis = heartbeatMillis;
    this.view = new MembershipView(self.get(), (long) heartbeatMillis * TIMEOUT_HEARTBEATS);
  }

  /** Starts to send. */
  public void start() {
    duty = new Duty("heartbeat", this::sendAll);
  }

  private void sendAll() throws InterruptedException {
    Member me = self.get();
    sequence++;
    Heartbeat heartbeat =
        new Heartbeat(
            me.entry(),
            me.vm(),
            me.domain(),
            me.peerAddress(),
            sequence,
            me.sheetVersion(),
            me.configOffset(),
            me.configDigest(),
            me.draining());
    for (VmEntry vm : directory.vms(VmRole.ENTRY)) {
      if (!vm.address().equals(me.peerAddress())) {
        send(vm.address(), heartbeat);
      }
    }
    TimeUnit.MILLISECONDS.sleep(heartbeatMillis);
  }

  private void send(String address, Heartbeat heartbeat) {
    try {
      links.computeIfAbsent(address, key -> new PeerLink(key, LINK_TIMEOUT_MILLIS)).send(heartbeat);
    } catch (IOException e) {
      EventLog.info(LogEvent.PEER_FAILED, "peer", address, "cause", e.getMessage());
    }
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

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
    links.values().forEach(PeerLink::close);
  }
}
