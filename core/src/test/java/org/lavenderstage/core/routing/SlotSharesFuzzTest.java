package org.lavenderstage.core.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;

/**
 * Tests that the entries together never have more requests on an executor than it has slots, while
 * messages are lost or late and entries are killed, replaced, paused, drained or partitioned.
 */
class SlotSharesFuzzTest {
  private static final int ENTRIES = 5;
  private static final int STEPS = 400;
  private static final int SEEDS = 200;

  @Provide
  Arbitrary<List<SlotSimulation.Step>> steps() {
    Arbitrary<SlotSimulation.Kind> kinds =
        Arbitraries.frequency(
            Tuple.of(30, SlotSimulation.Kind.TICK),
            Tuple.of(30, SlotSimulation.Kind.SERVE),
            Tuple.of(8, SlotSimulation.Kind.REQUEST_LOAN),
            Tuple.of(4, SlotSimulation.Kind.RETURN_SLOTS),
            Tuple.of(1, SlotSimulation.Kind.KILL),
            Tuple.of(2, SlotSimulation.Kind.START),
            Tuple.of(1, SlotSimulation.Kind.REPLACE),
            Tuple.of(1, SlotSimulation.Kind.PAUSE),
            Tuple.of(1, SlotSimulation.Kind.DRAIN),
            Tuple.of(1, SlotSimulation.Kind.PARTITION),
            Tuple.of(2, SlotSimulation.Kind.UPDATE_VM_LIST));
    return Combinators.combine(kinds, Arbitraries.integers().between(0, 5), amounts())
        .as(SlotSimulation.Step::new)
        .list()
        .ofSize(STEPS);
  }

  private static Arbitrary<Integer> amounts() {
    return Arbitraries.integers().between(0, 100);
  }

  @Property(seed = "1", tries = 300)
  void neverExceedsTheSlotsOfAnExecutor(
      @ForAll("steps") List<SlotSimulation.Step> steps, @ForAll long seed) {
    check(steps, seed);
  }

  @Tag("fresh")
  @Property(tries = 1000)
  void neverExceedsTheSlotsOfAnExecutorUnderFreshSeeds(
      @ForAll("steps") List<SlotSimulation.Step> steps, @ForAll long seed) {
    check(steps, seed);
  }

  private static void check(List<SlotSimulation.Step> steps, long seed) {
    SlotSimulation simulation = new SlotSimulation(seed, ENTRIES, SlotSimulation.Defects.NONE);
    steps.forEach(simulation::apply);
    assertTrue(simulation.maxRequestsOnOneExecutor() <= SlotSimulation.SLOTS);
  }

  @Test
  void usesAllSlotsOfAnExecutor() {
    assertTrue(maxOverSeeds(SlotSimulation.Defects.NONE) == SlotSimulation.SLOTS);
  }

  @Test
  void detectsSlotsUsedWithoutAcknowledgement() {
    assertTrue(
        maxOverSeeds(new SlotSimulation.Defects(true, false, SlotSimulation.TIMING))
            > SlotSimulation.SLOTS);
  }

  @Test
  void detectsSlotsReusedRightAfterALostAnswer() {
    assertTrue(
        maxOverSeeds(new SlotSimulation.Defects(false, true, SlotSimulation.TIMING))
            > SlotSimulation.SLOTS);
  }

  @Test
  void detectsAHandoverTimeShorterThanARequest() {
    SlotTiming shortHandover =
        new SlotTiming(
            200 * SlotSimulation.MILLIS,
            SlotSimulation.TIMING.maxStepGapNanos(),
            SlotSimulation.TIMING.leaseNanos(),
            SlotSimulation.TIMING.startDelayNanos());
    assertTrue(
        maxOverSeeds(new SlotSimulation.Defects(false, false, shortHandover))
            > SlotSimulation.SLOTS);
  }

  @Test
  void detectsAPausedEntryThatKeepsUsingItsSlots() {
    SlotTiming noPauseDetection =
        new SlotTiming(
            SlotSimulation.TIMING.handoverNanos(),
            Long.MAX_VALUE,
            SlotSimulation.TIMING.leaseNanos(),
            SlotSimulation.TIMING.startDelayNanos());
    assertTrue(
        maxOverSeeds(new SlotSimulation.Defects(false, false, noPauseDetection))
            > SlotSimulation.SLOTS);
  }

  private static int maxOverSeeds(SlotSimulation.Defects defects) {
    int maxRequests = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SlotSimulation simulation = new SlotSimulation(seed, ENTRIES, defects);
      Random random = new Random(seed);
      for (int i = 0; i < STEPS; i++) {
        simulation.apply(randomStep(random));
      }
      maxRequests = Math.max(maxRequests, simulation.maxRequestsOnOneExecutor());
    }
    return maxRequests;
  }

  private static SlotSimulation.Step randomStep(Random random) {
    SlotSimulation.Kind[] kinds = SlotSimulation.Kind.values();
    int choice = random.nextInt(60);
    SlotSimulation.Kind kind =
        choice < 24
            ? SlotSimulation.Kind.TICK
            : choice < 50 ? SlotSimulation.Kind.SERVE : kinds[2 + choice % (kinds.length - 2)];
    if (kind == SlotSimulation.Kind.REPLACE && random.nextInt(4) > 0) {
      kind = SlotSimulation.Kind.TICK;
    }
    return new SlotSimulation.Step(kind, random.nextInt(6), random.nextInt(101));
  }
}
