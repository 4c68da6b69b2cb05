package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.TaskId;

/** What others pay for the place that interrupted lasting tasks have before them. */
class InterruptedTaskCostTest {
  private static final long SEED = 5;
  private static final int WORKER_CPU = 32_000;
  private static final int RUN_MILLIS = 800;

  /** Three times the objective of the urgent jobs, after which they earn nothing. */
  private static final long WORTHLESS_MILLIS = 3 * (2 * RUN_MILLIS + 1_000);

  /** Lasting tasks that never ran wait behind urgent jobs under a new owner, too. */
  @Test
  void urgentJobsAreDoneWhileTheyEarnThoughANewOwnerInheritsLastingTasksThatNeverRan() {
    assertTrue(urgentInTime(false) >= 0.9, "without a new owner: " + urgentInTime(false));
    assertTrue(urgentInTime(true) >= 0.9, "with a new owner: " + urgentInTime(true));
  }

  private static double urgentInTime(boolean newOwner) {
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
      if (newOwner && i == 29) {
        simulation.replaceOwner();
      }
      simulation.run(350);
    }
    simulation.run(WORTHLESS_MILLIS);
    assertEquals(List.of(), simulation.oracle.violations);
    long done =
        urgent.stream()
            .map(simulation.submitted::get)
            .filter(job -> job.phase() == JobPhase.COMPLETED)
            .filter(job -> job.endedAtMillis() - job.receivedAtMillis() <= WORTHLESS_MILLIS)
            .count();
    return (double) done / urgent.size();
  }

  /** A worker that takes long work for good keeps room for a lasting task that gets none there. */
  @Test
  void anUrgentTaskRunsBesideAnInterruptedOneThatWaitsForLongWork() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    simulation.run(500);
    simulation.submit(List.of(StepBuilder.longRunning(1, 20_000)), 0);
    simulation.run(200);
    SimulatedWorker first =
        simulation.workers.stream()
            .filter(w -> w.shares().stream().anyMatch(s -> s.spec().lasting()))
            .findFirst()
            .orElseThrow();
    simulation.submit(List.of(StepBuilder.step(1, 15_000, 60_000)), 2);
    simulation.run(200);
    first.draining = true;
    simulation.run(1_000);
    Job urgent = simulation.submit(List.of(StepBuilder.step(1, 2_000, RUN_MILLIS)), 0);
    simulation.run(WORTHLESS_MILLIS);
    assertEquals(JobPhase.COMPLETED, urgent.phase(), () -> String.join("\n", simulation.history));
  }

  /** What lasting tasks take of the room that is kept is gone for good. */
  @Test
  void anInterruptedTaskGetsItsRoomWhereALastingTaskThatNeverRanHasAnotherPlace() {
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

  /** A task that was stopped just before a takeover goes before urgent ones that come steadily. */
  @Test
  void aTaskThatWasStoppedBeforeATakeoverRunsAgainThoughUrgentTasksComeSteadily() {
    for (int lag = 1; lag <= 15; lag++) {
      PoolSimulation simulation = new PoolSimulation(SEED, 3);
      simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
      simulation.run(500);
      Job lasting = simulation.submit(List.of(StepBuilder.longRunning(3, 3_000)), 0);
      simulation.run(500);
      submitUrgentSteadily(simulation, 40);
      simulation.workers.get(0).draining = true;
      submitUrgentSteadily(simulation, lag + 1);
      simulation.replaceOwner();
      submitUrgentSteadily(simulation, 99 - lag);
      for (int i = 0; i < 3; i++) {
        TaskId task = new TaskId(lasting.id(), 0, 0, i);
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
