package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;

/**
 * Verifies that long-running tasks that lose their worker run again soon in a pool that is full of
 * batch tasks, where capacity is released one task at a time.
 */
class InterruptedLongRunningTaskTest {
  private static final long SEED = 11;
  private static final int WORKERS = 3;
  private static final int WORKER_CPU = 32_000;
  private static final int LONG_RUNNING_TASKS = 3;
  private static final int LONG_RUNNING_CPU = 3_000;
  private static final int LARGE_LONG_RUNNING_CPU = 8_000;
  private static final int BATCH_CPU = 3_500;
  private static final int BATCH_MILLIS = 2_400;
  private static final int FIRST_BATCH_TASKS = 24;
  private static final int BATCH_INTERVAL_MILLIS = 70;
  private static final int BATCH_TASKS = 200;

  /** Time within which an interrupted task must run again; required by the users. */
  private static final long MAX_INTERRUPTION_MILLIS = 3_000;

  private final PoolSimulation simulation = new PoolSimulation(SEED, WORKERS);
  private Job longRunningJob;

  private void fillPool(int longRunningCpu) {
    simulation.longPolling = true;
    simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    simulation.run(500);
    longRunningJob =
        simulation.submit(List.of(StepBuilder.longRunning(LONG_RUNNING_TASKS, longRunningCpu)), 0);
    simulation.run(200);
    for (int i = 0; i < FIRST_BATCH_TASKS; i++) {
      submitBatchTask(500 + i * BATCH_INTERVAL_MILLIS);
    }
    for (int i = 0; i < BATCH_TASKS; i++) {
      submitBatchTask(BATCH_MILLIS);
    }
    simulation.run(300);
  }

  private void submitBatchTask(long millis) {
    simulation.submit(List.of(StepBuilder.step(1, BATCH_CPU, millis)), 2);
  }

  private void submitUrgentTaskThatFitsNowhere() {
    simulation.submit(List.of(StepBuilder.step(1, BATCH_CPU, 500)), 0);
    simulation.run(100);
  }

  private List<TaskId> notRunning() {
    return IntStream.range(0, LONG_RUNNING_TASKS)
        .mapToObj(i -> new TaskId(longRunningJob.id(), 0, 0, i))
        .filter(task -> !simulation.oracle.isRunning(task))
        .toList();
  }

  /** A stream of new long-running tasks took all released capacity before the interrupted one. */
  @Test
  void interruptedTaskRunsAgainBeforeNewLongRunningTasks() {
    fillPool(LONG_RUNNING_CPU);
    simulation.workers.get(0).draining = true;
    for (int i = 0; i < (300 + MAX_INTERRUPTION_MILLIS) / BATCH_INTERVAL_MILLIS; i++) {
      simulation.submit(List.of(StepBuilder.longRunning(1, LONG_RUNNING_CPU)), 0);
      simulation.run(BATCH_INTERVAL_MILLIS);
    }
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** A steady load of urgent tasks took all released capacity before the interrupted one. */
  @Test
  void interruptedTaskRunsAgainUnderSteadyUrgentLoad() {
    fillPool(LONG_RUNNING_CPU);
    simulation.workers.get(0).draining = true;
    for (int i = 0; i < (300 + MAX_INTERRUPTION_MILLIS) / BATCH_INTERVAL_MILLIS; i++) {
      simulation.submit(List.of(StepBuilder.step(2, BATCH_CPU, 2_000)), 0);
      simulation.run(BATCH_INTERVAL_MILLIS);
    }
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Small batch tasks took all released capacity, so that no worker ever had enough for the large
   * task.
   */
  @Test
  void largeInterruptedTaskRunsAgainAlthoughBatchTasksFitWhereverCapacityIsReleased() {
    fillPool(LARGE_LONG_RUNNING_CPU);
    simulation.workers.get(0).draining = true;
    simulation.run(300 + MAX_INTERRUPTION_MILLIS);
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  private String ordersSinceDraining() {
    return simulation.history.stream()
        .dropWhile(line -> !line.contains("draining, true"))
        .filter(line -> line.contains("RUN_ORDERED") || line.contains(longRunningJob.id()))
        .collect(Collectors.joining("\n"));
  }

  /**
   * The last worker was withheld from the long-running task for ten seconds, while batch tasks took
   * all released capacity.
   */
  @Test
  void taskOfDrainingWorkerRunsAgainAfterUrgentTaskDidNotFit() {
    fillPool(LONG_RUNNING_CPU);
    submitUrgentTaskThatFitsNowhere();
    simulation.workers.get(0).draining = true;
    simulation.run(300 + MAX_INTERRUPTION_MILLIS);
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Tasks of jobs that were submitted earlier took each new worker before one that had waited for
   * longer.
   */
  @Test
  void taskThatWaitsLongestRunsAgainWhileWorkersAreReplacedInTurn() {
    assertRunsAgainWhileWorkersAreReplaced(0);
  }

  /**
   * Tasks of queues with a higher priority took each new worker before one that had waited for
   * longer.
   */
  @Test
  void taskOfLowerPriorityThatWaitsLongestRunsAgainWhileWorkersAreReplacedInTurn() {
    assertRunsAgainWhileWorkersAreReplaced(1);
  }

  /**
   * Verifies that a task with the given priority runs again while two workers leave and others are
   * replaced in turn.
   */
  private static void assertRunsAgainWhileWorkersAreReplaced(int priority) {
    PoolSimulation pool = new PoolSimulation(SEED, 8);
    pool.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    pool.run(500);
    pool.submit(List.of(StepBuilder.longRunning(39, 6_000)), 0);
    pool.run(200);
    TaskId task =
        new TaskId(pool.submit(List.of(StepBuilder.longRunning(1, 6_000)), priority).id(), 0, 0, 0);
    pool.run(10_000);
    List<SimulatedWorker> leaving = new ArrayList<>(pool.workers);
    SimulatedWorker first = leaving.stream().filter(w -> w.runs(task)).findFirst().orElseThrow();
    leaving.remove(first);
    first.draining = true;
    leaving.remove(0).draining = true;
    pool.run(300);
    for (int i = 0; i < 4; i++) {
      SimulatedWorker added = new SimulatedWorker(8 + i, pool.now, pool.oracle);
      added.cpuMillis = WORKER_CPU;
      pool.workers.add(added);
      pool.run(500);
      leaving.remove(0).draining = true;
      pool.run(400);
    }
    assertTrue(
        pool.oracle.isRunning(task),
        () ->
            pool.history.stream()
                .filter(line -> line.contains(task.toString()))
                .collect(Collectors.joining("\n")));
    assertEquals(List.of(), pool.oracle.violations, pool::describeViolations);
  }
}
