package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;

/**
 * Lasting tasks lose their worker in a pool that batch work keeps full, where places become free
 * one at a time.
 */
class InterruptedLongRunningTaskTest {
  private static final long SEED = 11;
  private static final int WORKERS = 3;
  private static final int WORKER_CPU = 32_000;
  private static final int LASTING_TASKS = 3;
  private static final int LASTING_CPU = 3_000;
  private static final int LARGE_LASTING_CPU = 8_000;
  private static final int BATCH_CPU = 3_500;
  private static final int BATCH_MILLIS = 2_400;
  private static final int FIRST_BATCH_TASKS = 24;
  private static final int BATCH_GAP_MILLIS = 70;
  private static final int BATCH_TASKS = 200;

  /** Within which an interrupted task is to run again, by the users' rules. */
  private static final long BACK_MILLIS = 3_000;

  private final PoolSimulation world = new PoolSimulation(SEED, WORKERS);
  private Job lasting;

  private void fillPool(int lastingCpu) {
    world.longPolling = true;
    world.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    world.run(500);
    lasting = world.submit(List.of(StepBuilder.longRunning(LASTING_TASKS, lastingCpu)), 0);
    world.run(200);
    for (int i = 0; i < FIRST_BATCH_TASKS; i++) {
      submitBatchTask(500 + i * BATCH_GAP_MILLIS);
    }
    for (int i = 0; i < BATCH_TASKS; i++) {
      submitBatchTask(BATCH_MILLIS);
    }
    world.run(300);
  }

  private void submitBatchTask(long millis) {
    world.submit(List.of(StepBuilder.step(1, BATCH_CPU, millis)), 2);
  }

  private void lackRoomForUrgentTask() {
    world.submit(List.of(StepBuilder.step(1, BATCH_CPU, 500)), 0);
    world.run(100);
  }

  private List<TaskId> notRunning() {
    return IntStream.range(0, LASTING_TASKS)
        .mapToObj(i -> new TaskId(lasting.id(), 0, 0, i))
        .filter(task -> !world.oracle.isRunning(task))
        .toList();
  }

  /** A stream of new lasting tasks takes each place, and the interrupted one waits behind them. */
  @Test
  void anInterruptedLastingTaskRunsAgainBeforeLastingTasksThatNeverRan() {
    fillPool(LASTING_CPU);
    world.workers.get(0).draining = true;
    for (int i = 0; i < (300 + BACK_MILLIS) / BATCH_GAP_MILLIS; i++) {
      world.submit(List.of(StepBuilder.longRunning(1, LASTING_CPU)), 0);
      world.run(BATCH_GAP_MILLIS);
    }
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
  }

  /** Urgent tasks that come steadily take each place, and the interrupted one waits for all. */
  @Test
  void anInterruptedLastingTaskRunsAgainThoughUrgentTasksComeSteadily() {
    fillPool(LASTING_CPU);
    world.workers.get(0).draining = true;
    for (int i = 0; i < (300 + BACK_MILLIS) / BATCH_GAP_MILLIS; i++) {
      world.submit(List.of(StepBuilder.step(2, BATCH_CPU, 2_000)), 0);
      world.run(BATCH_GAP_MILLIS);
    }
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
  }

  /** Batch tasks take each piece that gets free, so that no worker ever has room enough. */
  @Test
  void aLargeInterruptedTaskRunsAgainThoughBatchTasksFitIntoEveryPlaceThatGetsFree() {
    fillPool(LARGE_LASTING_CPU);
    world.workers.get(0).draining = true;
    world.run(300 + BACK_MILLIS);
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
  }

  private String ordersSinceDraining() {
    return world.history.stream()
        .dropWhile(line -> !line.contains("draining, true"))
        .filter(line -> line.contains("RUN_ORDERED") || line.contains(lasting.id()))
        .collect(Collectors.joining("\n"));
  }

  /** A lasting task waits for ten seconds, while batch tasks take each place that gets free. */
  @Test
  void aLastingTaskOfADrainingWorkerRunsAgainThoughUrgentTasksHaveLackedRoom() {
    fillPool(LASTING_CPU);
    lackRoomForUrgentTask();
    world.workers.get(0).draining = true;
    world.run(300 + BACK_MILLIS);
    assertEquals(List.of(), notRunning(), this::ordersSinceDraining);
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
  }
}
