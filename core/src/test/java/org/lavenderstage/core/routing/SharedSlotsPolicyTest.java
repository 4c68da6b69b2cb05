package org.lavenderstage.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SharedSlotsPolicyTest {
  private static final long MILLIS = 1_000_000;
  private static final long TICK_NANOS = 100 * MILLIS;
  private static final int STEPS = 200;
  private static final int EXECUTORS = 5;
  private static final SlotTiming TIMING =
      new SlotTiming(10_000 * MILLIS, 5_000 * MILLIS, 3_000 * MILLIS, 0);

  private final SlotShares shares = new SlotShares("vm", "vm-1", 8, TIMING, 0);
  private final SharedSlotsPolicy policy = new SharedSlotsPolicy(shares, 0);
  private long now;

  private void listExecutors(List<String> executors) {
    now += TICK_NANOS;
    shares.updateVms(List.of("vm"), executors, now);
    policy.setExecutors(executors);
    shares.step(now);
    shares.step(now);
  }

  private SlotTicket choose() {
    return policy.choose(0, now).orElseThrow();
  }

  @Property(seed = "1", tries = 50)
  void avoidsExecutorsThatAreNoLongerListed(@ForAll long seed) {
    assertTrue(avoidsUnlisted(seed, 1));
  }

  @Test
  void detectsAnEntryThatReadsTheListTooSeldom() {
    assertFalse(avoidsUnlisted(1, 3));
  }

  /** Changes the list of executors in each step; the entry reads it every {@code readInterval}. */
  private static boolean avoidsUnlisted(long seed, int readInterval) {
    Random random = new Random(seed);
    SlotShares slotShares = new SlotShares("vm", "vm-1", 8, TIMING, 0);
    SharedSlotsPolicy routingPolicy = new SharedSlotsPolicy(slotShares, 0);
    boolean avoids = true;
    for (int step = 0; step < STEPS; step++) {
      long stepNanos = (step + 1) * TICK_NANOS;
      List<String> usable = new ArrayList<>();
      for (int i = 0; i < EXECUTORS; i++) {
        if (random.nextInt(3) > 0) {
          usable.add("x" + i);
        }
      }
      if (step % readInterval == 0) {
        slotShares.updateVms(List.of("vm"), usable, stepNanos);
        routingPolicy.setExecutors(usable);
      }
      slotShares.step(stepNanos);
      slotShares.step(stepNanos);
      for (int i = 0; i < 4; i++) {
        Optional<SlotTicket> ticket = routingPolicy.choose(0, stepNanos);
        if (ticket.isPresent()) {
          avoids &= usable.contains(ticket.get().executor());
          routingPolicy.attemptEnded(
              ticket.get(),
              RoutingPolicy.AttemptOutcome.ANSWERED,
              1 + random.nextInt(9),
              stepNanos);
        }
      }
    }
    return avoids;
  }

  @Test
  void avoidsARefusingExecutorUntilAProbeIsAnswered() {
    listExecutors(List.of("bad", "good"));
    for (int i = 0; i < 20; i++) {
      SlotTicket ticket = choose();
      boolean bad = ticket.executor().equals("bad");
      policy.attemptEnded(
          ticket,
          bad ? RoutingPolicy.AttemptOutcome.NOT_STARTED : RoutingPolicy.AttemptOutcome.ANSWERED,
          MILLIS,
          now);
    }
    assertEquals("good", choose().executor());
    assertEquals("good", choose().executor());
    now += 600 * MILLIS;
    int probes = 0;
    for (int i = 0; i < 6; i++) {
      probes += choose().executor().equals("bad") ? 1 : 0;
    }
    assertEquals(1, probes);
  }

  @Test
  void sendsOnlyProbesToAnExecutorThatIsFiveTimesSlower() {
    listExecutors(List.of("slow", "a", "b", "c", "d", "e"));
    for (int i = 0; i < 300; i++) {
      SlotTicket ticket = choose();
      long elapsedNanos = ticket.executor().equals("slow") ? 50 * MILLIS : 10 * MILLIS;
      policy.attemptEnded(ticket, RoutingPolicy.AttemptOutcome.ANSWERED, elapsedNanos, now);
    }
    now += 200 * MILLIS;
    policy.choose(0, now).ifPresent(ticket -> end(ticket));
    for (int i = 0; i < 100; i++) {
      SlotTicket ticket = choose();
      assertNotEquals("slow", ticket.executor());
      end(ticket);
    }
  }

  private void end(SlotTicket ticket) {
    policy.attemptEnded(ticket, RoutingPolicy.AttemptOutcome.ANSWERED, 10 * MILLIS, now);
  }
}
