package org.lavenderstage.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotSharesTest {
  private static final long MILLIS = 1_000_000;
  private static final long TICK_NANOS = 100 * MILLIS;
  private static final List<String> EXECUTORS = List.of("x1", "x2", "x3", "x4");
  private static final SlotTiming TIMING =
      new SlotTiming(10_000 * MILLIS, 5_000 * MILLIS, 3_000 * MILLIS, 0);

  private final List<SlotShares> live = new ArrayList<>();
  private final List<Boolean> draining = new ArrayList<>();
  private List<String> vmList = List.of();
  private long now;

  private SlotShares start(String vm) {
    SlotShares shares = new SlotShares(vm, vm + "-1", 8, TIMING, now);
    live.add(shares);
    draining.add(false);
    return shares;
  }

  private void tick(int count) {
    for (int i = 0; i < count; i++) {
      now += TICK_NANOS;
      for (SlotShares shares : live) {
        shares.updateVms(vmList, EXECUTORS, now);
        shares.step(now);
      }
      for (int from = 0; from < live.size(); from++) {
        SlotAnnouncement announcement = live.get(from).announce(now);
        for (SlotShares to : live) {
          to.receiveAnnouncement(announcement, draining.get(from), now);
        }
      }
    }
  }

  private void acquireAll(SlotShares shares, String executor) {
    while (shares.acquire(executor, 0, now).isPresent()) {
      // None is released.
    }
  }

  private int confirmedCount() {
    return live.stream().mapToInt(SlotShares::confirmedCount).sum();
  }

  @Test
  void dividesAllSlotsWithinAFewHeartbeats() {
    vmList = List.of("a", "b", "c");
    vmList.forEach(this::start);
    tick(5);
    assertEquals(EXECUTORS.size() * 8, confirmedCount());
  }

  @Test
  void keepsTheSlotsOfADeadEntryUnusedUntilTheHandoverTime() {
    vmList = List.of("a", "b", "c");
    vmList.forEach(this::start);
    tick(5);
    SlotShares dead = live.remove(0);
    draining.remove(0);
    EXECUTORS.forEach(executor -> acquireAll(dead, executor));
    vmList = List.of("b", "c", "new");
    start("new");
    for (int i = 0; i < 95; i++) {
      tick(1);
      for (String executor : EXECUTORS) {
        int free = live.stream().mapToInt(entry -> entry.slots(executor, now).freeCount(now)).sum();
        assertTrue(dead.requestCount(executor) + free <= 8, executor + " in tick " + i);
      }
    }
    tick(150);
    assertEquals(EXECUTORS.size() * 8, confirmedCount());
  }

  @Test
  void handsOverAtOnceWhenAnEntryDrains() {
    vmList = List.of("a", "b", "c");
    vmList.forEach(this::start);
    tick(5);
    live.get(0).drain();
    draining.set(0, true);
    tick(5);
    assertEquals(0, live.get(0).confirmedCount());
    assertEquals(EXECUTORS.size() * 8, confirmedCount());
  }

  @Test
  void doesNotWaitForAnEntryThatDrainedAndStopped() {
    vmList = List.of("a", "b", "c");
    vmList.forEach(this::start);
    tick(5);
    live.get(0).drain();
    draining.set(0, true);
    tick(5);
    live.remove(0);
    draining.remove(0);
    vmList = List.of("b", "c", "d");
    start("d");
    tick(8);
    assertEquals(EXECUTORS.size() * 8, confirmedCount());
  }
}
