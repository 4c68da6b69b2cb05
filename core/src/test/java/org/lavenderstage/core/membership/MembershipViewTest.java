package org.lavenderstage.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipViewTest {
  private final MembershipView view = new MembershipView(member("vm0", "a"), 2000);

  @Test
  void dropsPeerWithoutHeartbeatAfterTimeout() {
    view.recordHeartbeat(member("vm1", "b"), 0);
    assertEquals(List.of("a", "b"), live(2000));
    assertEquals(List.of("a"), live(2001));
  }

  @Test
  void replacesEarlierIncarnationOnSameVmAndIgnoresItsDelayedHeartbeats() {
    view.recordHeartbeat(member("vm1", "b"), 0);
    view.recordHeartbeat(member("vm1", "c"), 100);
    view.recordHeartbeat(member("vm1", "b"), 200);
    assertEquals(List.of("a", "c"), live(300));
  }

  @Test
  void keepsLastHeartbeatOfSilentPeerForDumps() {
    view.recordHeartbeat(member("vm1", "b"), 0);
    List<HeardMember> heard = view.heardMembers(60_000);
    assertEquals(60_000, heard.get(0).silentMillis());
  }

  private List<String> live(long nowMillis) {
    return view.live(nowMillis).stream().map(Member::entry).toList();
  }

  private static Member member(String vm, String entry) {
    return new Member(entry, vm, "domain", "127.0.0.1:1", 0, 0, "", false);
  }
}
