package org.lavenderstage.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.sheet.Sheet;

class AdaptivePlannerTest {
  private static final int STEPS = 250;
  private static final int DEFECT_TRIES = 200;

  @Provide
  Arbitrary<List<Integer>> events() {
    return Arbitraries.integers().between(0, PlannerFuzzer.MAX_EVENT).list().ofSize(STEPS);
  }

  @Property(seed = "1", tries = 300)
  void everyPlanRespectsCapacityRulesQuarantineAndBudget(@ForAll("events") List<Integer> events) {
    new PlannerFuzzer(new PlannerUnderTest(ProtectionPolicy.GRADED)).run(events);
  }

  @Tag("fresh")
  @Property(tries = 1000)
  void everyPlanRespectsItsLimitsUnderFreshSeeds(@ForAll("events") List<Integer> events) {
    new PlannerFuzzer(new PlannerUnderTest(ProtectionPolicy.GRADED)).run(events);
  }

  @Property(seed = "1", tries = 50)
  void theSameEventsGiveTheSamePlans(@ForAll("events") List<Integer> events) {
    assertEquals(
        new PlannerFuzzer(new PlannerUnderTest(ProtectionPolicy.GRADED)).run(events),
        new PlannerFuzzer(new PlannerUnderTest(ProtectionPolicy.GRADED)).run(events));
  }

  @Test
  void theEventsReachEveryKindOfAction() {
    Set<Class<?>> kinds = new HashSet<>();
    for (int seed = 0; seed < DEFECT_TRIES; seed++) {
      new PlannerFuzzer(new PlannerUnderTest(ProtectionPolicy.GRADED))
          .run(randomEvents(seed)).stream()
              .flatMap(List::stream)
              .forEach(action -> kinds.add(action.getClass()));
    }
    assertEquals(Set.of(PlannedAction.class.getPermittedSubclasses()), kinds);
  }

  @Test
  void aPlannerThatIgnoresFreeCapacityIsDetected() {
    assertDetected("no free capacity", () -> new CapacityBlindPlanner());
  }

  @Test
  void aPlannerThatIgnoresPairRulesIsDetected() {
    assertDetected("apart rule", () -> new SheetBlindPlanner());
  }

  @Test
  void aPlannerThatIgnoresQuotasIsDetected() {
    assertDetected("quota", () -> new QuotaBlindPlanner());
  }

  @Test
  void aPlannerThatIsNotToldOfFailuresIsDetected() {
    assertDetected("quarantine", () -> new FailureBlindPlanner());
  }

  @Test
  void aPlannerWithoutAnEvictionBudgetIsDetected() {
    assertDetected("too many evictions", () -> new BudgetBlindPlanner());
  }

  @Test
  void aNonDeterministicPlannerIsDetected() {
    assertThrows(
        AssertionError.class,
        () -> {
          for (int seed = 0; seed < DEFECT_TRIES; seed++) {
            List<Integer> events = randomEvents(seed);
            assertEquals(
                new PlannerFuzzer(new ShuffledPlanner(1)).run(events),
                new PlannerFuzzer(new ShuffledPlanner(2)).run(events));
          }
        });
  }

  private static void assertDetected(String message, Supplier<PlannerUnderTest> planners) {
    for (int seed = 0; seed < DEFECT_TRIES; seed++) {
      try {
        new PlannerFuzzer(planners.get()).run(randomEvents(seed));
      } catch (AssertionError e) {
        assertEquals(true, e.getMessage().contains(message), e.getMessage());
        return;
      }
    }
    throw new AssertionError("the defective planner was not detected: " + message);
  }

  private static List<Integer> randomEvents(int seed) {
    Random random = new Random(seed);
    List<Integer> events = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      events.add(random.nextInt(PlannerFuzzer.MAX_EVENT + 1));
    }
    return events;
  }

  /** Moves every placement to one worker, regardless of its free resources. */
  private static final class CapacityBlindPlanner extends PlannerUnderTest {
    CapacityBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
      return super.plan(ledger, nowMillis).stream()
          .map(
              action ->
                  action instanceof PlannedAction.Place place
                      ? new PlannedAction.Place(place.job(), "worker-0")
                      : action)
          .toList();
    }
  }

  /** Ignores the sheet, and thus the pair rules. */
  private static final class SheetBlindPlanner extends PlannerUnderTest {
    SheetBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    void setSheet(Sheet sheet) {
      // the sheet is ignored
    }
  }

  /** Ignores everything of the sheet but the pair rules, and thus the quotas of workspaces. */
  private static final class QuotaBlindPlanner extends PlannerUnderTest {
    QuotaBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    void setSheet(Sheet sheet) {
      super.setSheet(new Sheet(List.of(), List.of(), List.of(), sheet.pairs()));
    }
  }

  /** Treats failed attempts as successful. */
  private static final class FailureBlindPlanner extends PlannerUnderTest {
    FailureBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    void attemptEnded(String job, String worker, EndReason reason) {
      super.attemptEnded(job, worker, EndReason.DONE);
    }
  }

  /** Evicts every running job in each plan. */
  private static final class BudgetBlindPlanner extends PlannerUnderTest {
    BudgetBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
      List<PlannedAction> actions = new ArrayList<>();
      ledger.jobs().stream()
          .filter(job -> job.phase() == JobPhase.PLACED)
          .forEach(job -> actions.add(new PlannedAction.Evict(job.accepted().job())));
      super.plan(ledger, nowMillis).stream()
          .filter(PlannedAction.Place.class::isInstance)
          .forEach(actions::add);
      return actions;
    }
  }

  /** Shuffles its actions with a random seed that is not part of the input. */
  private static final class ShuffledPlanner extends PlannerUnderTest {
    private final Random random;

    ShuffledPlanner(long seed) {
      super(ProtectionPolicy.GRADED);
      random = new Random(seed);
    }

    @Override
    List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
      List<PlannedAction> actions = new ArrayList<>(super.plan(ledger, nowMillis));
      Collections.shuffle(actions, random);
      return actions;
    }
  }
}
