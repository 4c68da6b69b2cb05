package org.lavenderstage.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries that were heard from lately, this one always among them. */
public final class MembershipView {
  private static final long KEPT_MILLIS = 600_000;

  private final Member self;
  private final long timeoutMillis;
  private final Map<String, Heard> heard = new TreeMap<>();

  /**
   * Makes a view of this entry alone.
   *
   * @param self this entry
   * @param timeoutMillis silence in milliseconds after which a peer is taken for dead
   */
  public MembershipView(Member self, long timeoutMillis) {
    this.self = self;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Takes note of a peer's heartbeat. A new incarnation replaces the former one of its VM; a late
   * heartbeat of the former one is ignored.
   *
   * @param member the peer
   * @param nowMillis monotonic time in milliseconds
   */
  public void heard(Member member, long nowMillis) {
    Heard known = heard.get(member.entry());
    if (known != null && known.isReplaced()) {
      return;
    }
    for (Map.Entry<String, Heard> other : heard.entrySet()) {
      Member former = other.getValue().member();
      if (former.vm().equals(member.vm()) && !former.entry().equals(member.entry())) {
        other.setValue(new Heard(former, other.getValue().atMillis(), true));
      }
    }
    heard.put(member.entry(), new Heard(member, nowMillis, false));
  }

  /**
   * Lists the live entries.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return this entry and every peer that was heard from in time, in the order of their names
   */
  public List<Member> live(long nowMillis) {
    heard.values().removeIf(peer -> nowMillis - peer.atMillis() > KEPT_MILLIS);
    List<Member> live = new ArrayList<>();
    live.add(self);
    for (Heard peer : heard.values()) {
      if (!peer.isReplaced() && nowMillis - peer.atMillis() <= timeoutMillis) {
        live.add(peer.member());
      }
    }
    live.sort((a, b) -> a.entry().compareTo(b.entry()));
    return live;
  }

  /**
   * Lists the peers with the time since their last heartbeat, silent and replaced ones among them.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the peers that were heard from in the last ten minutes
   */
  public List<HeardMember> heardMembers(long nowMillis) {
    List<HeardMember> members = new ArrayList<>();
    for (Heard peer : heard.values()) {
      members.add(new HeardMember(peer.member(), nowMillis - peer.atMillis()));
    }
    return members;
  }

  /** A peer with the time of its last heartbeat. */
  private record Heard(Member member, long atMillis, boolean isReplaced) {}
}
