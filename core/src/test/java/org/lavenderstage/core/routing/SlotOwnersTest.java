package org.lavenderstage.core.routing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotOwnersTest {
  private static final int SLOTS = 8;
  private static final int EXECUTORS = 300;

  @Test
  void givesEachVmAboutAnEqualShare() {
    List<String> vms = vms(9);
    int[] counts = new int[vms.size()];
    for (int i = 0; i < EXECUTORS; i++) {
      for (int owner : SlotOwners.owners("x" + i, SLOTS, vms)) {
        counts[owner]++;
      }
    }
    double mean = (double) EXECUTORS * SLOTS / vms.size();
    for (int count : counts) {
      assertTrue(Math.abs(count / mean - 1) < 0.1, "slots of a VM: " + count + ", mean: " + mean);
    }
  }

  @Test
  void movesFewSlotsWhenAVmIsRemoved() {
    List<String> before = vms(9);
    List<String> after = before.subList(0, 8);
    int moved = 0;
    for (int i = 0; i < EXECUTORS; i++) {
      int[] old = SlotOwners.owners("x" + i, SLOTS, before);
      int[] next = SlotOwners.owners("x" + i, SLOTS, after);
      for (int slot = 0; slot < SLOTS; slot++) {
        moved += before.get(old[slot]).equals(after.get(next[slot])) ? 0 : 1;
      }
    }
    assertTrue(moved < EXECUTORS * SLOTS / 3, moved + " slots moved");
  }

  @Test
  void assignsNoOwnerWithoutVms() {
    assertArrayEquals(new int[] {-1, -1}, SlotOwners.owners("x", 2, List.of()));
    assertEquals(0, SlotOwners.owners("x", 1, List.of("only"))[0]);
  }

  private static List<String> vms(int count) {
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      vms.add("vm" + i);
    }
    return vms;
  }
}
