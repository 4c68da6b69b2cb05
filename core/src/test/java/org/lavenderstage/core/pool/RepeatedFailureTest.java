package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;

/** Tasks whose runs fail again and again leave capacity and starts to the others. */
class RepeatedFailureTest {
  private static final long SEED = 1;

  /** Longest time without a run that users accept of a long-running task beside free capacity. */
  private static final long MAX_GAP_MILLIS = 9_000;

  private static PoolSimulation simulate(int workerCount, int cpuMillis) {
    PoolSimulation simulation = new PoolSimulation(SEED, workerCount);
    simulation.usePlatformDelays();
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = cpuMillis;
      worker.longRunningFailureMillis = 10;
    }
    simulation.run(1_000);
    return simulation;
  }

  private static int startCount(PoolSimulation simulation) {
    return simulation.workers.stream().mapToInt(worker -> worker.startCount).sum();
  }

  /** A long-running task that failed at once was started again at once, before all others. */
  @Test
  void longRunningTaskThatFailsAtOnceIsStartedAfterGrowingPauses() {
    PoolSimulation simulation = simulate(12, 8_000);
    simulation.failingTasks = task -> true;
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 400)), 2);
    simulation.run(60_000);
    int starts = startCount(simulation);
    assertTrue(starts <= 60, starts + " starts in a minute");

    simulation.failingTasks = task -> false;
    long fixedAt = simulation.now;
    runUntilActive(simulation, job);
    long waitedMillis = simulation.now - fixedAt;
    assertTrue(waitedMillis < MAX_GAP_MILLIS, () -> "waits " + waitedMillis);
  }

  private static void runUntilActive(PoolSimulation simulation, Job job) {
    TaskId task = new TaskId(job.id(), 0, 0, 0);
    for (int i = 0; i < 1_000 && !simulation.oracle.isRunning(task); i++) {
      simulation.run(10);
    }
    assertTrue(simulation.oracle.isRunning(task));
  }

  /** A task that ran for long before it failed is not paced; its first failures are not either. */
  @Test
  void longRunningTaskThatFailsRarelyIsRestartedAtOnce() {
    PoolSimulation simulation = simulate(12, 8_000);
    simulation.workers.forEach(worker -> worker.longRunningFailureMillis = 5_000);
    simulation.failingTasks = task -> true;
    simulation.submit(List.of(StepBuilder.longRunning(1, 400)), 2);
    simulation.run(60_000);
    int starts = startCount(simulation);
    assertTrue(starts >= 60_000 / 5_500, () -> starts + " starts in a minute");
  }

  /** A failing long-running job went before urgent jobs each time, and occupied the only worker. */
  @Test
  void longRunningTaskThatFailsAgainAndAgainGoesBehindUrgentJobs() {
    PoolSimulation simulation = simulate(1, 1_000);
    simulation.workers.get(0).longRunningFailureMillis = 1_000;
    simulation.failingTasks = task -> task.job().equals("0000000000000001");
    simulation.submit(List.of(StepBuilder.longRunning(1, 1_000)), 2);
    simulation.run(10_000);
    for (int i = 0; i < 10; i++) {
      simulation.submit(List.of(StepBuilder.step(1, 1_000, 300)), 0);
    }
    simulation.run(6_000);
    assertEquals(10, simulation.oracle.doneCount(), () -> String.join("\n", simulation.history));
  }
}
