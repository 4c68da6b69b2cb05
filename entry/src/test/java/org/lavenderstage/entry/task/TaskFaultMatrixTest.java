package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderstage.standin.worker.TaskLedger;

/** Every fault at every step of a task, judged by what the workers recorded. */
class TaskFaultMatrixTest {
  /**
   * Faults that take a worker's memory, or its answers for longer than a worker lease. What ended
   * there unheard runs again, from its last recorded checkpoint.
   */
  static final Set<Fault> WORK_LOST = EnumSet.of(Fault.WORKER_LOST, Fault.WORKER_CUT);

  static Stream<Strike> everyFaultAtEveryStep() {
    return Arrays.stream(Fault.values())
        .flatMap(fault -> Arrays.stream(Step.values()).map(step -> new Strike(fault, step)));
  }

  static Stream<List<Strike>> pairsOfFaults() {
    List<Strike> all = everyFaultAtEveryStep().toList();
    List<List<Strike>> pairs = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        pairs.add(List.of(all.get(i), all.get(j)));
      }
    }
    return pairs.stream();
  }

  @Test
  void withoutAFaultEveryJobRunsOnceAndEveryCheckpointResumesOnce() {
    TaskLedger oracle = new TaskWorld(BrokenVariant.NONE, List.of()).run();
    assertTrue(oracle.checkpoints() > 0);
    assertEquals(oracle.starts(), oracle.done() + oracle.checkpoints());
    check(oracle, List.of());
  }

  @ParameterizedTest
  @MethodSource("everyFaultAtEveryStep")
  void aFaultAtAStepBreaksNoPromise(Strike strike) {
    TaskWorld world = new TaskWorld(BrokenVariant.NONE, List.of(strike));
    check(world.run(), List.of(strike));
    assertTrue(world.isStruck(), "the fault has struck");
  }

  @ParameterizedTest
  @EnumSource(Step.class)
  void aLogOutageOfTenMinutesEndsNoRunningTask(Step step) {
    Strike strike = new Strike(Fault.LOG_DOWN, step);
    TaskLedger oracle = new TaskWorld(BrokenVariant.NONE, List.of(strike)).run();
    assertEquals(0, oracle.lapses());
    assertEquals(oracle.starts(), oracle.done() + oracle.checkpoints());
  }

  @Test
  void twoFaultsAtStepsOfATaskBreakNoPromise() {
    runPairs(EnumSet.of(Step.START, Step.CHECKPOINT, Step.END));
  }

  @Test
  @Tag("fresh")
  void twoFaultsAtAnyTwoStepsBreakNoPromise() {
    runPairs(EnumSet.allOf(Step.class));
  }

  private static void runPairs(Set<Step> steps) {
    pairsOfFaults()
        .filter(pair -> pair.stream().allMatch(strike -> steps.contains(strike.step())))
        .filter(TaskFaultMatrixTest::isShort)
        .forEach(pair -> check(new TaskWorld(BrokenVariant.NONE, pair).run(), pair));
  }

  /** Leaves the outage of ten minutes to the pairs whose faults both strike at the start. */
  private static boolean isShort(List<Strike> pair) {
    return pair.stream().noneMatch(strike -> strike.fault() == Fault.LOG_DOWN)
        || pair.stream().allMatch(strike -> strike.step() == Step.START);
  }

  private static void check(TaskLedger oracle, List<Strike> strikes) {
    boolean workLost = strikes.stream().anyMatch(strike -> WORK_LOST.contains(strike.fault()));
    assertAll(
        strikes.toString(),
        () -> assertEquals(0, oracle.twoPlaces(), "two places"),
        () -> assertEquals(0, oracle.overcommitted(), "overcommitted"),
        () -> assertEquals(8, oracle.done(), "done"),
        () -> assertTrue(workLost || oracle.resumedAgain() == 0, "resumed again"),
        () -> assertTrue(workLost || oracle.neverResumed() == 0, "never resumed"),
        () -> assertTrue(workLost || oracle.doneAgain() == 0, "done again"));
  }
}
