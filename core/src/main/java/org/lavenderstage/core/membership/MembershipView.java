package org.lavenderstage.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Tracks the live entries: this entry and the peers whose last heartbeat is recent. */
public final class MembershipView {
  private static final long RETENTION_MILLIS = 600_000;

  private final Member self;
  private final long timeoutMillis;
  private final Map<String, Peer> recordHeartbeat = new TreeMap<>();

  /**
   * Creates a view that contains only this entry.
   *
   * @param self this entry
   * @param timeoutMillis time without a heartbeat after which a peer is considered dead, in
   *     milliseconds
   */
  public MembershipView(Member self, long timeoutMillis) {
    this.self = self;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Records a peer's heartbeat. A new incarnation replaces the earlier one on the same VM; delayed
   * heartbeats of the earlier one are ignored.
   *
   * @param member the peer
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordHeartbeat(Member member, long nowMillis) {
    Peer knownPeer = recordHeartbeat.get(member.entry());
    if (knownPeer != null && knownPeer.isReplaced()) {
      return;
    }
    for (Map.Entry<String, Peer> other : recordHeartbeat.entrySet()) {
      Member otherMember = other.getValue().member();
      if (otherMember.vm().equals(member.vm()) && !otherMember.entry().equals(member.entry())) {
        other.setValue(new Peer(otherMember, other.getValue().atMillis(), true));
      }
    }
    recordHeartbeat.put(member.entry(), new Peer(member, nowMillis, false));
  }

  /**
   * Returns the live entries.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return this entry and every peer with a heartbeat within the time-out, ordered by incarnation
   */
  public List<Member> live(long nowMillis) {
    recordHeartbeat.values().removeIf(peer -> nowMillis - peer.atMillis() > RETENTION_MILLIS);
    List<Member> live = new ArrayList<>();
    live.add(self);
    for (Peer peer : recordHeartbeat.values()) {
      if (!peer.isReplaced() && nowMillis - peer.atMillis() <= timeoutMillis) {
        live.add(peer.member());
      }
    }
    live.sort((a, b) -> a.entry().compareTo(b.entry()));
    return live;
  }

  /**
   * Returns the known peers with the time since their last heartbeat, including unresponsive and
   * replaced ones.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the peers with a heartbeat in the last ten minutes
   */
  public List<HeardMember> heardMembers(long nowMillis) {
    List<HeardMember> members = new ArrayList<>();
    for (Peer peer : recordHeartbeat.values()) {
      members.add(new HeardMember(peer.member(), nowMillis - peer.atMillis()));
    }
    return members;
  }

  /** A peer and the time of its last heartbeat. */
  private record Peer(Member member, long atMillis, boolean isReplaced) {}
}
