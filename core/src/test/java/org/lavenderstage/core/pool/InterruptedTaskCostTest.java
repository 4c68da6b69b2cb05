package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.TaskId;

/**
 * Verifies that the precedence of interrupted long-running tasks does not cost other tasks too
 * much.
 */
class InterruptedTaskCostTest {
  private static final long SEED = 5;
  private static final int WORKER_CPU = 32_000;
  private static final int RUN_MILLIS = 800;

  /** Hard deadline of the urgent jobs: three times their soft deadline. */
  private static final long HARD_DEADLINE_MILLIS = 3 * (2 * RUN_MILLIS + 1_000);

  /** Long-running tasks that never ran rank below urgent jobs under a new owner, too. */
  @Test
  void urgentJobsMeetHardDeadlineAfterFailoverWithWaitingLongRunningTasks() {
    assertTrue(urgentShareInTime(false) >= 0.9, "without a new owner: " + urgentShareInTime(false));
    assertTrue(urgentShareInTime(true) >= 0.9, "with a new owner: " + urgentShareInTime(true));
  }

  private static double urgentShareInTime(boolean failover) {
    PoolSimulation simulation = new PoolSimulation(SEED, 8);
    simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    simulation.run(500);
    for (int i = 0; i < 30; i++) {
      simulation.submit(List.of(StepBuilder.longRunning(1, 4_600 + 400 * (i % 8))), 0);
    }
    simulation.run(500);
    List<String> urgent = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      if (i >= 30) {
        urgent.add(simulation.submit(List.of(StepBuilder.step(4, 2_400, RUN_MILLIS)), 0).id());
      } else {
        simulation.submit(List.of(StepBuilder.step(4, 2_400, RUN_MILLIS)), 0);
      }
      if (i % 2 == 0) {
        simulation.submit(List.of(StepBuilder.longRunning(1, 4_600 + 400 * (i % 8))), 0);
      }
      if (failover && i == 29) {
        simulation.replaceOwner();
      }
      simulation.run(350);
    }
    simulation.run(HARD_DEADLINE_MILLIS);
    assertEquals(List.of(), simulation.oracle.violations);
    long done =
        urgent.stream()
            .map(simulation.submitted::get)
            .filter(job -> job.phase() == JobPhase.COMPLETED)
            .filter(job -> job.endedAtMillis() - job.receivedAtMillis() <= HARD_DEADLINE_MILLIS)
            .count();
    return (double) done / urgent.size();
  }

  /**
   * Capacity was reserved on a worker whose long batch task left no room for the interrupted task.
   */
  @Test
  void urgentTaskRunsWhileInterruptedTaskWaitsForLongBatchTask() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    simulation.run(500);
    simulation.submit(List.of(StepBuilder.longRunning(1, 20_000)), 0);
    simulation.run(200);
    SimulatedWorker first =
        simulation.workers.stream()
            .filter(w -> w.activeTasks().stream().anyMatch(s -> s.spec().lasting()))
            .findFirst()
            .orElseThrow();
    simulation.submit(List.of(StepBuilder.step(1, 15_000, 60_000)), 2);
    simulation.run(200);
    first.draining = true;
    simulation.run(1_000);
    Job urgent = simulation.submit(List.of(StepBuilder.step(1, 2_000, RUN_MILLIS)), 0);
    simulation.run(HARD_DEADLINE_MILLIS);
    assertEquals(JobPhase.COMPLETED, urgent.phase(), () -> String.join("\n", simulation.history));
  }

  /** A long-running task that uses reserved capacity does not release it again. */
  @Test
  void interruptedTaskGetsReservationWhereNewLongRunningTaskFitsElsewhere() {
    PoolSimulation simulation = new PoolSimulation(SEED, 3);
    simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    simulation.run(500);
    Job large = simulation.submit(List.of(StepBuilder.longRunning(1, 26_000)), 0);
    simulation.run(200);
    simulation.submit(List.of(StepBuilder.longRunning(1, 18_000)), 0);
    simulation.run(200);
    simulation.submit(List.of(StepBuilder.step(1, 15_000, 5_000)), 2);
    simulation.run(200);
    TaskId interrupted = new TaskId(large.id(), 0, 0, 0);
    SimulatedWorker first =
        simulation.workers.stream().filter(w -> w.runs(interrupted)).findFirst().orElseThrow();
    first.draining = true;
    simulation.run(1_000);
    Job small = simulation.submit(List.of(StepBuilder.longRunning(1, 6_500)), 0);
    simulation.run(6_000);
    assertTrue(simulation.oracle.isRunning(new TaskId(small.id(), 0, 0, 0)));
    assertTrue(
        simulation.oracle.isRunning(interrupted), () -> String.join("\n", simulation.history));
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** A task that was stopped just before a failover ranks above a steady load of urgent tasks. */
  @Test
  void taskStoppedBeforeFailoverRunsAgainUnderSteadyUrgentLoad() {
    for (int lag = 1; lag <= 15; lag++) {
      PoolSimulation simulation = new PoolSimulation(SEED, 3);
      simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
      simulation.run(500);
      Job longRunningJob = simulation.submit(List.of(StepBuilder.longRunning(3, 3_000)), 0);
      simulation.run(500);
      submitUrgentSteadily(simulation, 40);
      simulation.workers.get(0).draining = true;
      submitUrgentSteadily(simulation, lag + 1);
      simulation.replaceOwner();
      submitUrgentSteadily(simulation, 99 - lag);
      for (int i = 0; i < 3; i++) {
        TaskId task = new TaskId(longRunningJob.id(), 0, 0, i);
        int steps = lag;
        assertTrue(simulation.oracle.isRunning(task), () -> task + " after a lag of " + steps);
      }
    }
  }

  private static void submitUrgentSteadily(PoolSimulation simulation, int times) {
    for (int i = 0; i < times; i++) {
      simulation.submit(List.of(StepBuilder.step(2, 3_500, 2_000)), 0);
      simulation.run(50);
    }
  }
}
