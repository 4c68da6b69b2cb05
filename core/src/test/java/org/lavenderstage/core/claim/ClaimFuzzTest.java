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
import org.lavenderstage.core.claim.ClaimOracle.Invariant;
import org.lavenderstage.core.claim.ClaimStep.Kind;
import org.lavenderstage.core.outcome.Outcome;

/**
 * Runs random sequences of steps and faults and checks guarantees 4, 5 and 6 with {@link
 * ClaimOracle}.
 */
class ClaimFuzzTest {
  private static final int STEPS = 250;
  private static final int SEEDS = 300;
  private static final int MIN_ANSWERS_PER_OUTCOME = 30;

  @Property(seed = "1", tries = 300)
  void everyInvariantHolds(
      @ForAll("sequences") List<ClaimStep> steps, @ForAll("entries") int count) {
    check(steps, count);
  }

  @Tag("fresh")
  @Property(tries = 3000)
  void everyInvariantHoldsWithFreshSeeds(
      @ForAll("sequences") List<ClaimStep> steps, @ForAll("entries") int count) {
    check(steps, count);
  }

  private static void check(List<ClaimStep> steps, int entries) {
    ClaimSimulation simulation = run(ClaimDefect.NONE, entries, steps);
    assertEquals(List.of(), simulation.oracle().violations());
    assertEquals(List.of(), simulation.unfinished());
  }

  private static ClaimSimulation run(ClaimDefect defect, int entries, List<ClaimStep> steps) {
    ClaimSimulation simulation = new ClaimSimulation(defect, entries);
    steps.forEach(simulation::apply);
    simulation.drain();
    return simulation;
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
      case PAUSE, REPLACE, LOG_DOWN, ADVANCE_FAR -> 1;
      case NEW_KEY, SEND_REFUSED, LOSE_ANSWER, SWAP_ANSWER -> 2;
      case APPEND_WITH_LOST_ANSWER, TICK, ADVANCE -> 4;
      case ANSWER, RESUME, LOG_UP -> 8;
      case ASK, REPLY, SUBMIT -> 10;
      case APPEND, READ, CHECK, SEND -> 14;
    };
  }

  @Test
  void sequencesReachEveryOutcome() {
    Map<Outcome, Integer> answerCounts = new EnumMap<>(Outcome.class);
    for (int seed = 0; seed < SEEDS; seed++) {
      ClaimSimulation simulation = run(ClaimDefect.NONE, 3, sequence(seed));
      for (Outcome outcome : Outcome.values()) {
        answerCounts.merge(outcome, simulation.oracle().count(outcome), Integer::sum);
      }
    }
    for (Outcome outcome : Outcome.values()) {
      assertTrue(
          answerCounts.get(outcome) >= MIN_ANSWERS_PER_OUTCOME, outcome + " in " + answerCounts);
    }
  }

  @ParameterizedTest
  @EnumSource(value = ClaimDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void detectsEveryDefect(ClaimDefect defect) {
    Invariant expected =
        switch (defect) {
          case DISPATCHES_BEFORE_CLAIM_IS_APPLIED,
              DISPATCHES_FOR_LOST_OWNER,
              TRUSTS_REFUSAL_OF_OTHER_REQUEST ->
              Invariant.AT_MOST_ONE_RUN;
          case IGNORES_REQUEST_ID -> Invariant.OWN_ANSWER;
          default -> Invariant.TRUTHFUL_DENIAL;
        };
    boolean detected = false;
    for (int seed = 0; seed < SEEDS && !detected; seed++) {
      detected = run(defect, 3, sequence(seed)).oracle().violations().contains(expected);
    }
    assertTrue(detected, defect + " was not detected");
  }

  private static List<ClaimStep> sequence(long seed) {
    Random random = new Random(seed);
    List<Kind> weightedKinds = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (int i = 0; i < weight(kind); i++) {
        weightedKinds.add(kind);
      }
    }
    List<ClaimStep> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      Kind kind = weightedKinds.get(random.nextInt(weightedKinds.size()));
      steps.add(new ClaimStep(kind, random.nextInt(1000), random.nextInt(1000)));
    }
    return steps;
  }
}
