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
    PoolWorld world = new PoolWorld(SEED, 8);
    world.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    world.run(500);
    for (int i = 0; i < 30; i++) {
      world.submit(List.of(StepBuilder.longRunning(1, 4_600 + 400 * (i % 8))), 0);
    }
    world.run(500);
    List<String> urgent = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      if (i >= 30) {
        urgent.add(world.submit(List.of(StepBuilder.step(4, 2_400, RUN_MILLIS)), 0).id());
      } else {
        world.submit(List.of(StepBuilder.step(4, 2_400, RUN_MILLIS)), 0);
      }
      if (i % 2 == 0) {
        world.submit(List.of(StepBuilder.longRunning(1, 4_600 + 400 * (i % 8))), 0);
      }
      if (newOwner && i == 29) {
        world.replaceOwner();
      }
      world.run(350);
    }
    world.run(WORTHLESS_MILLIS);
    assertEquals(List.of(), world.oracle.broken);
    long done =
        urgent.stream()
            .map(world.submitted::get)
            .filter(job -> job.phase() == JobPhase.COMPLETED)
            .filter(job -> job.endedAtMillis() - job.receivedAtMillis() <= WORTHLESS_MILLIS)
            .count();
    return (double) done / urgent.size();
  }

  /** A worker that takes long work for good keeps room for a lasting task that gets none there. */
  @Test
  void anUrgentTaskRunsBesideAnInterruptedOneThatWaitsForLongWork() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    world.run(500);
    world.submit(List.of(StepBuilder.longRunning(1, 20_000)), 0);
    world.run(200);
    SimulatedWorker first =
        world.workers.stream()
            .filter(w -> w.shares().stream().anyMatch(s -> s.spec().lasting()))
            .findFirst()
            .orElseThrow();
    world.submit(List.of(StepBuilder.step(1, 15_000, 60_000)), 2);
    world.run(200);
    first.draining = true;
    world.run(1_000);
    Job urgent = world.submit(List.of(StepBuilder.step(1, 2_000, RUN_MILLIS)), 0);
    world.run(WORTHLESS_MILLIS);
    assertEquals(JobPhase.COMPLETED, urgent.phase(), () -> String.join("\n", world.history));
  }

  /** What lasting tasks take of the room that is kept is gone for good. */
  @Test
  void anInterruptedTaskGetsItsRoomWhereALastingTaskThatNeverRanHasAnotherPlace() {
    PoolWorld world = new PoolWorld(SEED, 3);
    world.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    world.run(500);
    Job large = world.submit(List.of(StepBuilder.longRunning(1, 26_000)), 0);
    world.run(200);
    world.submit(List.of(StepBuilder.longRunning(1, 18_000)), 0);
    world.run(200);
    world.submit(List.of(StepBuilder.step(1, 15_000, 5_000)), 2);
    world.run(200);
    TaskId interrupted = new TaskId(large.id(), 0, 0, 0);
    SimulatedWorker first =
        world.workers.stream().filter(w -> w.runs(interrupted)).findFirst().orElseThrow();
    first.draining = true;
    world.run(1_000);
    Job small = world.submit(List.of(StepBuilder.longRunning(1, 6_500)), 0);
    world.run(6_000);
    assertTrue(world.oracle.isRunning(new TaskId(small.id(), 0, 0, 0)));
    assertTrue(world.oracle.isRunning(interrupted), () -> String.join("\n", world.history));
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /** A task that was stopped just before a takeover goes before urgent ones that come steadily. */
  @Test
  void aTaskThatWasStoppedBeforeATakeoverRunsAgainThoughUrgentTasksComeSteadily() {
    for (int lag = 1; lag <= 15; lag++) {
      PoolWorld world = new PoolWorld(SEED, 3);
      world.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
      world.run(500);
      Job lasting = world.submit(List.of(StepBuilder.longRunning(3, 3_000)), 0);
      world.run(500);
      submitUrgentSteadily(world, 40);
      world.workers.get(0).draining = true;
      submitUrgentSteadily(world, lag + 1);
      world.replaceOwner();
      submitUrgentSteadily(world, 99 - lag);
      for (int i = 0; i < 3; i++) {
        TaskId task = new TaskId(lasting.id(), 0, 0, i);
        int steps = lag;
        assertTrue(world.oracle.isRunning(task), () -> task + " after a lag of " + steps);
      }
    }
  }

  private static void submitUrgentSteadily(PoolWorld world, int times) {
    for (int i = 0; i < times; i++) {
      world.submit(List.of(StepBuilder.step(2, 3_500, 2_000)), 0);
      world.run(50);
    }
  }
}
