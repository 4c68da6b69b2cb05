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

/** No executor gets a ninth request, whatever is lost, late, killed, frozen or cut. */
class SlotSharesFuzzTest {
  private static final int ENTRIES = 5;
  private static final int STEPS = 400;
  private static final int SEEDS = 200;

  @Provide
  Arbitrary<List<SlotWorld.Step>> steps() {
    Arbitrary<SlotWorld.Kind> kinds =
        Arbitraries.frequency(
            Tuple.of(30, SlotWorld.Kind.TICK),
            Tuple.of(30, SlotWorld.Kind.SERVE),
            Tuple.of(8, SlotWorld.Kind.LEND),
            Tuple.of(4, SlotWorld.Kind.RETURN),
            Tuple.of(1, SlotWorld.Kind.KILL),
            Tuple.of(2, SlotWorld.Kind.START),
            Tuple.of(1, SlotWorld.Kind.REPLACE),
            Tuple.of(1, SlotWorld.Kind.FREEZE),
            Tuple.of(1, SlotWorld.Kind.DRAIN),
            Tuple.of(1, SlotWorld.Kind.CUT),
            Tuple.of(2, SlotWorld.Kind.LIST));
    return Combinators.combine(kinds, Arbitraries.integers().between(0, 5), amounts())
        .as(SlotWorld.Step::new)
        .list()
        .ofSize(STEPS);
  }

  private static Arbitrary<Integer> amounts() {
    return Arbitraries.integers().between(0, 100);
  }

  @Property(seed = "1", tries = 300)
  void neverGivesAnExecutorANinthRequest(
      @ForAll("steps") List<SlotWorld.Step> steps, @ForAll long seed) {
    check(steps, seed);
  }

  @Tag("fresh")
  @Property(tries = 1000)
  void neverGivesAnExecutorANinthRequestUnderFreshSeeds(
      @ForAll("steps") List<SlotWorld.Step> steps, @ForAll long seed) {
    check(steps, seed);
  }

  private static void check(List<SlotWorld.Step> steps, long seed) {
    SlotWorld world = new SlotWorld(seed, ENTRIES, SlotWorld.Faults.NONE);
    steps.forEach(world::apply);
    assertTrue(world.mostOnOneExecutor() <= SlotWorld.SLOTS);
  }

  @Test
  void usesTheSlotsInTheSequences() {
    assertTrue(mostOverSeeds(SlotWorld.Faults.NONE) == SlotWorld.SLOTS);
  }

  @Test
  void catchesEntriesThatTakeSlotsWithoutAcknowledgement() {
    assertTrue(
        mostOverSeeds(new SlotWorld.Faults(true, false, SlotWorld.TIMING)) > SlotWorld.SLOTS);
  }

  @Test
  void catchesSlotsThatDoNotRestAfterALostAnswer() {
    assertTrue(
        mostOverSeeds(new SlotWorld.Faults(false, true, SlotWorld.TIMING)) > SlotWorld.SLOTS);
  }

  @Test
  void catchesAHandoverShorterThanARequest() {
    SlotTiming hasty =
        new SlotTiming(
            200 * SlotWorld.MILLIS,
            SlotWorld.TIMING.maxStepGapNanos(),
            SlotWorld.TIMING.leaseNanos(),
            SlotWorld.TIMING.startDelayNanos());
    assertTrue(mostOverSeeds(new SlotWorld.Faults(false, false, hasty)) > SlotWorld.SLOTS);
  }

  @Test
  void catchesAFrozenEntryThatGoesOnWithItsSlots() {
    SlotTiming heedless =
        new SlotTiming(
            SlotWorld.TIMING.handoverNanos(),
            Long.MAX_VALUE,
            SlotWorld.TIMING.leaseNanos(),
            SlotWorld.TIMING.startDelayNanos());
    assertTrue(mostOverSeeds(new SlotWorld.Faults(false, false, heedless)) > SlotWorld.SLOTS);
  }

  private static int mostOverSeeds(SlotWorld.Faults faults) {
    int most = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SlotWorld world = new SlotWorld(seed, ENTRIES, faults);
      Random random = new Random(seed);
      for (int i = 0; i < STEPS; i++) {
        world.apply(randomStep(random));
      }
      most = Math.max(most, world.mostOnOneExecutor());
    }
    return most;
  }

  private static SlotWorld.Step randomStep(Random random) {
    SlotWorld.Kind[] kinds = SlotWorld.Kind.values();
    int choice = random.nextInt(60);
    SlotWorld.Kind kind =
        choice < 24
            ? SlotWorld.Kind.TICK
            : choice < 50 ? SlotWorld.Kind.SERVE : kinds[2 + choice % (kinds.length - 2)];
    if (kind == SlotWorld.Kind.REPLACE && random.nextInt(4) > 0) {
      kind = SlotWorld.Kind.TICK;
    }
    return new SlotWorld.Step(kind, random.nextInt(6), random.nextInt(101));
  }
}
