package org.lavenderstage.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries that were heard from lately, this one always among them. */
public final class MembershipView {
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
   * Takes note of a peer's heartbeat.
   *
   * @param member the peer
   * @param nowMillis monotonic time in milliseconds
   */
  public void heard(Member member, long nowMillis) {
    heard.put(member.entry(), new Heard(member, nowMillis));
  }

  /**
   * Lists the live entries.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return this entry and every peer that was heard from in time, in the order of their names
   */
  public List<Member> live(long nowMillis) {
    heard.values().removeIf(peer -> nowMillis - peer.atMillis() > timeoutMillis);
    List<Member> live = new ArrayList<>();
    live.add(self);
    heard.values().forEach(peer -> live.add(peer.member()));
    live.sort((a, b) -> a.entry().compareTo(b.entry()));
    return live;
  }

  /** A peer with the time of its last heartbeat. */
  private record Heard(Member member, long atMillis) {}
}
