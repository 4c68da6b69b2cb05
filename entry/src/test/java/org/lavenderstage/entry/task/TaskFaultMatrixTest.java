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

/** Injects every fault at every step of a task, and checks what the workers recorded. */
class TaskFaultMatrixTest {
  /**
   * The faults that lose the state of a worker, or its answers for longer than a worker lease. A
   * task whose end was not reported runs again from its last recorded checkpoint.
   */
  static final Set<Fault> FAULTS_LOSING_WORK =
      EnumSet.of(Fault.WORKER_CRASHED, Fault.WORKER_PARTITIONED);

  static Stream<FaultInjection> everyFaultAtEveryStep() {
    return Arrays.stream(Fault.values())
        .flatMap(
            fault -> Arrays.stream(Step.values()).map(step -> new FaultInjection(fault, step)));
  }

  static Stream<List<FaultInjection>> pairsOfFaults() {
    List<FaultInjection> all = everyFaultAtEveryStep().toList();
    List<List<FaultInjection>> pairs = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        pairs.add(List.of(all.get(i), all.get(j)));
      }
    }
    return pairs.stream();
  }

  @Test
  void withoutFaultsEveryJobRunsOnceAndEveryCheckpointIsResumedOnce() {
    TaskLedger oracle = new TaskSimulation(TaskDefect.NONE, List.of()).run();
    assertTrue(oracle.checkpoints() > 0);
    assertEquals(oracle.starts(), oracle.done() + oracle.checkpoints());
    check(oracle, List.of());
  }

  @ParameterizedTest
  @MethodSource("everyFaultAtEveryStep")
  void aSingleFaultBreaksNoGuarantee(FaultInjection injection) {
    TaskSimulation simulation = new TaskSimulation(TaskDefect.NONE, List.of(injection));
    check(simulation.run(), List.of(injection));
    assertTrue(simulation.areAllInjected(), "expected the fault to be injected");
  }

  @ParameterizedTest
  @EnumSource(Step.class)
  void aLogOutageOfTenMinutesEndsNoRunningTask(Step step) {
    FaultInjection injection = new FaultInjection(Fault.LOG_DOWN, step);
    TaskLedger oracle = new TaskSimulation(TaskDefect.NONE, List.of(injection)).run();
    assertEquals(0, oracle.leaseExpiries());
    assertEquals(oracle.starts(), oracle.done() + oracle.checkpoints());
  }

  @Test
  void twoFaultsAtTaskStepsBreakNoGuarantee() {
    runPairs(EnumSet.of(Step.START, Step.CHECKPOINT, Step.END));
  }

  @Test
  @Tag("fresh")
  void twoFaultsAtAnyStepsBreakNoGuarantee() {
    runPairs(EnumSet.allOf(Step.class));
  }

  private static void runPairs(Set<Step> steps) {
    pairsOfFaults()
        .filter(pair -> pair.stream().allMatch(injection -> steps.contains(injection.step())))
        .filter(TaskFaultMatrixTest::isShort)
        .forEach(pair -> check(new TaskSimulation(TaskDefect.NONE, pair).run(), pair));
  }

  /** Returns whether a pair has no log outage of ten minutes, or both its faults are at START. */
  private static boolean isShort(List<FaultInjection> pair) {
    return pair.stream().noneMatch(injection -> injection.fault() == Fault.LOG_DOWN)
        || pair.stream().allMatch(injection -> injection.step() == Step.START);
  }

  private static void check(TaskLedger oracle, List<FaultInjection> injections) {
    boolean workLost =
        injections.stream().anyMatch(injection -> FAULTS_LOSING_WORK.contains(injection.fault()));
    assertAll(
        injections.toString(),
        () -> assertEquals(0, oracle.concurrentAttempts(), "tasks running twice at once"),
        () -> assertEquals(0, oracle.overcommitted(), "overcommitted workers"),
        () -> assertEquals(8, oracle.done(), "completed tasks"),
        () ->
            assertTrue(
                workLost || oracle.repeatedResumes() == 0, "checkpoints resumed more than once"),
        () -> assertTrue(workLost || oracle.unusedCheckpoints() == 0, "checkpoints never resumed"),
        () ->
            assertTrue(
                workLost || oracle.repeatedCompletions() == 0, "tasks completed more than once"));
  }
}
