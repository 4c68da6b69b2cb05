package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.job.TaskId;

class JobSchedulerTest {
  private static final long SEED = 7;

  @Test
  void aJobWithTwoStepsCompletes() {
    PoolWorld world = new PoolWorld(SEED, 3);
    Job job = world.submit(List.of(StepBuilder.step(4, 1_000, 500), StepBuilder.step(2, 2_000, 300, 0)), 2);
    world.run(3_000);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void noTaskStartsBeforeItsJobIsStored() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.run(200);
    world.storeDown = true;
    Job job = world.submit(List.of(StepBuilder.step(1, 1_000, 500)), 0);
    world.run(2_000);
    assertFalse(job.hasBegun());
  }

  @Test
  void lastingTasksAreBackWithinThreeSecondsOfACrashThatIsSeen() {
    PoolWorld world = new PoolWorld(SEED, 3);
    Job job = world.submit(List.of(StepBuilder.longRunning(3, 2_000)), 0);
    world.run(1_000);
    SimulatedWorker crashed = world.workers.get(0);
    crashed.crash(world.now);
    crashed.restart(world.now + 1);
    world.run(3_000);
    for (int i = 0; i < 3; i++) {
      assertTrue(world.oracle.isRunning(new TaskId(job.id(), 0, 0, i)), "task " + i);
    }
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void tasksOfAWorkerThatNeverAnswersAgainRunElsewhereOnceItsLeaseIsOver() {
    PoolWorld world = new PoolWorld(SEED, 3);
    Job job = world.submit(List.of(StepBuilder.longRunning(6, 1_000)), 0);
    world.run(1_000);
    world.workers.get(0).cut = true;
    Job later = world.submit(List.of(StepBuilder.longRunning(3, 1_000)), 0);
    world.run(9_000);
    for (Job lasting : List.of(job, later)) {
      for (int i = 0; i < lasting.record().steps().get(0).count(); i++) {
        TaskId task = new TaskId(lasting.id(), 0, 0, i);
        assertTrue(world.oracle.isRunning(task), lasting.id() + " task " + i);
      }
    }
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void tasksOfASilentWorkerStartElsewhereOnlyAfterTheirLease() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = world.submit(List.of(StepBuilder.step(4, 2_000, 60_000)), 0);
    world.run(1_000);
    world.workers.get(0).cut = true;
    world.run(12_000);
    world.workers.get(0).cut = false;
    world.run(70_000);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void aNewOwnerAdoptsWhatRuns() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = world.submit(List.of(StepBuilder.step(4, 2_000, 3_000)), 0);
    world.run(1_000);
    world.replaceOwner();
    world.run(3_500);
    assertEquals(JobPhase.COMPLETED, world.submitted.get(job.id()).storedPhase());
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void aNewOwnerWaitsForAWorkerItCannotReachBeforeItStartsOldTasks() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.submit(List.of(StepBuilder.step(6, 2_000, 4_000)), 0);
    world.run(500);
    world.workers.get(0).cut = true;
    world.replaceOwner();
    world.run(3_000);
    world.workers.get(0).cut = false;
    world.run(12_000);
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void aCancelledJobStopsAtOnce() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = world.submit(List.of(StepBuilder.step(2, 2_000, 60_000)), 0);
    world.run(500);
    world.cancel(job);
    world.run(300);
    assertEquals(JobPhase.CANCELLED, job.storedPhase());
    assertFalse(world.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
  }

  @Test
  void aTaskThatAlwaysFailsEndsItsJob() {
    PoolWorld world = new PoolWorld(SEED, 3);
    world.failingRuns = 1;
    Job job = world.submit(List.of(StepBuilder.step(1, 1_000, 100)), 0);
    world.run(10_000);
    assertEquals(JobPhase.FAILED, job.storedPhase());
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void failuresCountOnceInWhateverOrderTheirEndsAreListed() {
    PoolWorld world = new PoolWorld(SEED, 1);
    Job job = world.submit(List.of(StepBuilder.step(1, 1_000, 100)), 0);
    Task task = job.openSteps().get(0).tasks().get(0);
    for (int attempt : new int[] {3, 1, 1, 2}) {
      job.recordTaskFailure(task, attempt, 0);
    }
    assertEquals(3, task.failures());
    assertEquals(JobPhase.FAILED, job.phase());
  }

  @Test
  void lastingTasksLeaveADrainingWorkerBeforeItEnds() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = world.submit(List.of(StepBuilder.longRunning(2, 2_000)), 0);
    world.run(500);
    world.workers.get(0).draining = true;
    world.workers.get(1).draining = false;
    world.run(1_000);
    assertTrue(world.owner.workers().get(0).isIdle());
    assertTrue(world.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
    assertTrue(world.oracle.isRunning(new TaskId(job.id(), 0, 0, 1)));
    assertEquals(List.of(), world.oracle.broken);
  }

  @Test
  void aWithdrawnSubmissionIsNeverStored() {
    PoolWorld world = new PoolWorld(SEED, 1);
    Job job = world.submit(List.of(StepBuilder.step(1, 1_000, 100)), 0);
    assertEquals(List.of(job), world.owner.withdraw());
    world.run(1_000);
    assertTrue(world.owner.find(job.id()).isEmpty());
    assertFalse(job.isStored());
  }

  @Test
  void aNewOwnerDoesNotWaitForAWorkerThatHadLeftEmpty() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = world.submit(List.of(StepBuilder.longRunning(1, 2_000)), 0);
    world.run(500);
    SimulatedWorker left = world.workers.get(0);
    left.draining = true;
    world.run(1_000);
    left.crash(world.now);
    world.owner.unlisted(left.id);
    world.run(1_500);
    world.workers.get(1).crash(world.now);
    world.replaceOwner();
    world.workers.get(1).restart(world.now);
    world.run(1_500);
    assertTrue(world.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
  }
}
