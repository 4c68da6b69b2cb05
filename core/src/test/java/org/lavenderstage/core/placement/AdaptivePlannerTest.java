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
  private static final int BROKEN_TRIES = 200;

  @Provide
  Arbitrary<List<Integer>> events() {
    return Arbitraries.integers().between(0, CellFuzz.EVENTS).list().ofSize(STEPS);
  }

  @Property(seed = "1", tries = 300)
  void everyPlanKeepsRoomRulesQuarantineAndBudget(@ForAll("events") List<Integer> events) {
    new CellFuzz(new FuzzPlanner(ProtectionPolicy.GRADED)).run(events);
  }

  @Tag("fresh")
  @Property(tries = 1000)
  void everyPlanKeepsItsPromisesUnderFreshSeeds(@ForAll("events") List<Integer> events) {
    new CellFuzz(new FuzzPlanner(ProtectionPolicy.GRADED)).run(events);
  }

  @Property(seed = "1", tries = 50)
  void theSameEventsGiveTheSamePlans(@ForAll("events") List<Integer> events) {
    assertEquals(
        new CellFuzz(new FuzzPlanner(ProtectionPolicy.GRADED)).run(events),
        new CellFuzz(new FuzzPlanner(ProtectionPolicy.GRADED)).run(events));
  }

  @Test
  void theEventsReachEveryKindOfAction() {
    Set<Class<?>> kinds = new HashSet<>();
    for (int seed = 0; seed < BROKEN_TRIES; seed++) {
      new CellFuzz(new FuzzPlanner(ProtectionPolicy.GRADED))
          .run(randomEvents(seed)).stream()
              .flatMap(List::stream)
              .forEach(action -> kinds.add(action.getClass()));
    }
    assertEquals(Set.of(PlannedAction.class.getPermittedSubclasses()), kinds);
  }

  @Test
  void aPlannerThatForgetsRoomIsCaught() {
    assertCaught("no room", () -> new RoomBlindPlanner());
  }

  @Test
  void aPlannerThatDropsTheSheetIsCaught() {
    assertCaught("apart rule", () -> new SheetBlindPlanner());
  }

  @Test
  void aPlannerThatKnowsNoQuotaIsCaught() {
    assertCaught("quota", () -> new QuotaBlindPlanner());
  }

  @Test
  void aPlannerThatIsToldOfNoFailureIsCaught() {
    assertCaught("quarantine", () -> new FailureBlindPlanner());
  }

  @Test
  void aPlannerWithoutABudgetIsCaught() {
    assertCaught("too many evictions", () -> new BudgetBlindPlanner());
  }

  @Test
  void aPlannerThatDependsOnMoreThanItsInputIsCaught() {
    assertThrows(
        AssertionError.class,
        () -> {
          for (int seed = 0; seed < BROKEN_TRIES; seed++) {
            List<Integer> events = randomEvents(seed);
            assertEquals(
                new CellFuzz(new ShuffledPlanner(1)).run(events),
                new CellFuzz(new ShuffledPlanner(2)).run(events));
          }
        });
  }

  private static void assertCaught(String message, Supplier<FuzzPlanner> planners) {
    for (int seed = 0; seed < BROKEN_TRIES; seed++) {
      try {
        new CellFuzz(planners.get()).run(randomEvents(seed));
      } catch (AssertionError e) {
        assertEquals(true, e.getMessage().contains(message), e.getMessage());
        return;
      }
    }
    throw new AssertionError("the broken variant was not caught: " + message);
  }

  private static List<Integer> randomEvents(int seed) {
    Random random = new Random(seed);
    List<Integer> events = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      events.add(random.nextInt(CellFuzz.EVENTS + 1));
    }
    return events;
  }

  /** Moves every placement to one worker, whatever room it has. */
  private static final class RoomBlindPlanner extends FuzzPlanner {
    RoomBlindPlanner() {
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

  /** Never learns of pair rules. */
  private static final class SheetBlindPlanner extends FuzzPlanner {
    SheetBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    void use(Sheet sheet) {
      // dropped
    }
  }

  /** Learns of ranks and pair rules, and of no workspace. */
  private static final class QuotaBlindPlanner extends FuzzPlanner {
    QuotaBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    void use(Sheet sheet) {
      super.use(new Sheet(List.of(), List.of(), List.of(), sheet.pairs()));
    }
  }

  /** Never learns that an attempt failed. */
  private static final class FailureBlindPlanner extends FuzzPlanner {
    FailureBlindPlanner() {
      super(ProtectionPolicy.GRADED);
    }

    @Override
    void attemptEnded(String job, String worker, EndReason reason) {
      super.attemptEnded(job, worker, EndReason.DONE);
    }
  }

  /** Evicts all that run, in each plan. */
  private static final class BudgetBlindPlanner extends FuzzPlanner {
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

  /** Orders its actions by a seed of its own. */
  private static final class ShuffledPlanner extends FuzzPlanner {
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
