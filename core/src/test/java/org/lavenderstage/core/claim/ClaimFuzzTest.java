package org.lavenderstage.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lavenderstage.core.claim.ClaimOracle.Promise;
import org.lavenderstage.core.claim.ClaimStep.Kind;
import org.lavenderstage.core.outcome.Outcome;

/** Random sequences of steps and faults against the oracles of promises 4, 5 and 6. */
class ClaimFuzzTest {
  private static final int STEPS = 250;
  private static final int SEEDS = 300;
  private static final int REACHED = 30;

  @Property(seed = "1", tries = 300)
  void everyPromiseHolds(@ForAll("sequences") List<ClaimStep> steps, @ForAll("entries") int count) {
    check(steps, count);
  }

  @Tag("fresh")
  @Property(tries = 3000)
  void everyPromiseHoldsUnderFreshSeeds(
      @ForAll("sequences") List<ClaimStep> steps, @ForAll("entries") int count) {
    check(steps, count);
  }

  private static void check(List<ClaimStep> steps, int entries) {
    ClaimWorld world = run(ClaimDefect.NONE, entries, steps);
    assertEquals(List.of(), world.oracle().broken());
    assertEquals(List.of(), world.unfinished());
  }

  private static ClaimWorld run(ClaimDefect defect, int entries, List<ClaimStep> steps) {
    ClaimWorld world = new ClaimWorld(defect, entries);
    steps.forEach(world::apply);
    world.drain();
    return world;
  }

  @Provide
  Arbitrary<Integer> entries() {
    return Arbitraries.integers().between(2, 3);
  }

  @Provide
  Arbitrary<List<ClaimStep>> sequences() {
    List<Tuple.Tuple2<Integer, Kind>> weights = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      weights.add(Tuple.of(weight(kind), kind));
    }
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1000);
    return Combinators.combine(Arbitraries.frequency(toArray(weights)), numbers, numbers)
        .as(ClaimStep::new)
        .list()
        .ofSize(STEPS);
  }

  @SuppressWarnings({"unchecked", "rawtypes"})
  private static Tuple.Tuple2<Integer, Kind>[] toArray(List<Tuple.Tuple2<Integer, Kind>> list) {
    return list.toArray(new Tuple.Tuple2[0]);
  }

  private static int weight(Kind kind) {
    return switch (kind) {
      case FREEZE, REPLACE, LOG_DOWN, ADVANCE_FAR -> 1;
      case NEW_KEY, SEND_REFUSED, LOSE_ANSWER, CROSS_ANSWER -> 2;
      case APPEND_WITH_LOST_ANSWER, TICK, ADVANCE -> 4;
      case ANSWER, THAW, LOG_UP -> 8;
      case ASK, REPLY, SUBMIT -> 10;
      case APPEND, READ, CHECK, SEND -> 14;
    };
  }

  @Test
  void sequencesReachEveryOutcome() {
    Map<Outcome, Integer> reached = new EnumMap<>(Outcome.class);
    for (int seed = 0; seed < SEEDS; seed++) {
      ClaimWorld world = run(ClaimDefect.NONE, 3, sequence(seed));
      for (Outcome outcome : Outcome.values()) {
        reached.merge(outcome, world.oracle().count(outcome), Integer::sum);
      }
    }
    for (Outcome outcome : Outcome.values()) {
      assertTrue(reached.get(outcome) >= REACHED, outcome + " in " + reached);
    }
  }

  @ParameterizedTest
  @EnumSource(value = ClaimDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void everyBrokenVariantIsCaught(ClaimDefect defect) {
    Promise expected =
        switch (defect) {
          case DISPATCHES_BEFORE_READ_BACK,
              RUNS_FOR_A_LOST_OWNER,
              TRUSTS_A_REFUSAL_OF_ANOTHER_REQUEST ->
              Promise.ONE_RUN;
          case IGNORES_THE_REQUEST_ID -> Promise.OWN_ANSWER;
          default -> Promise.TRUE_DENIAL;
        };
    boolean caught = false;
    for (int seed = 0; seed < SEEDS && !caught; seed++) {
      caught = run(defect, 3, sequence(seed)).oracle().broken().contains(expected);
    }
    assertTrue(caught, defect + " was not caught");
  }

  private static List<ClaimStep> sequence(long seed) {
    Random random = new Random(seed);
    List<Kind> bag = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (int i = 0; i < weight(kind); i++) {
        bag.add(kind);
      }
    }
    List<ClaimStep> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      Kind kind = bag.get(random.nextInt(bag.size()));
      steps.add(new ClaimStep(kind, random.nextInt(1000), random.nextInt(1000)));
    }
    return steps;
  }
}
