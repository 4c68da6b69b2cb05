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

/** Tests scheduling, cancellation, recovery and failover in a simulated pool. */
class JobSchedulerTest {
  private static final long SEED = 7;

  @Test
  void aJobWithTwoStepsCompletes() {
    PoolSimulation simulation = new PoolSimulation(SEED, 3);
    Job job =
        simulation.submit(
            List.of(StepBuilder.step(4, 1_000, 500), StepBuilder.step(2, 2_000, 300, 0)), 2);
    simulation.run(3_000);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void noTaskStartsBeforeItsJobIsStored() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    simulation.storeDown = true;
    Job job = simulation.submit(List.of(StepBuilder.step(1, 1_000, 500)), 0);
    simulation.run(2_000);
    assertFalse(job.hasBegun());
  }

  @Test
  void longRunningTasksRunAgainWithinThreeSecondsOfADetectedCrash() {
    PoolSimulation simulation = new PoolSimulation(SEED, 3);
    Job job = simulation.submit(List.of(StepBuilder.longRunning(3, 2_000)), 0);
    simulation.run(1_000);
    SimulatedWorker crashed = simulation.workers.get(0);
    crashed.crash(simulation.now);
    crashed.restart(simulation.now + 1);
    simulation.run(3_000);
    for (int i = 0; i < 3; i++) {
      assertTrue(simulation.oracle.isRunning(new TaskId(job.id(), 0, 0, i)), "task " + i);
    }
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void tasksOfAWorkerThatNeverAnswersAgainRunElsewhereOnceItsLeaseExpires() {
    PoolSimulation simulation = new PoolSimulation(SEED, 3);
    Job job = simulation.submit(List.of(StepBuilder.longRunning(6, 1_000)), 0);
    simulation.run(1_000);
    simulation.workers.get(0).disconnected = true;
    Job later = simulation.submit(List.of(StepBuilder.longRunning(3, 1_000)), 0);
    simulation.run(9_000);
    for (Job longRunningJob : List.of(job, later)) {
      for (int i = 0; i < longRunningJob.record().steps().get(0).count(); i++) {
        TaskId task = new TaskId(longRunningJob.id(), 0, 0, i);
        assertTrue(simulation.oracle.isRunning(task), longRunningJob.id() + " task " + i);
      }
    }
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void tasksOfAnUnresponsiveWorkerStartElsewhereOnlyAfterTheirLease() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = simulation.submit(List.of(StepBuilder.step(4, 2_000, 60_000)), 0);
    simulation.run(1_000);
    simulation.workers.get(0).disconnected = true;
    simulation.run(12_000);
    simulation.workers.get(0).disconnected = false;
    simulation.run(70_000);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void aNewOwnerAdoptsExistingRuns() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = simulation.submit(List.of(StepBuilder.step(4, 2_000, 3_000)), 0);
    simulation.run(1_000);
    simulation.replaceOwner();
    simulation.run(3_500);
    assertEquals(JobPhase.COMPLETED, simulation.submitted.get(job.id()).storedPhase());
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void aNewOwnerWaitsForAnUnreachableWorkerBeforeItStartsInheritedTasks() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.submit(List.of(StepBuilder.step(6, 2_000, 4_000)), 0);
    simulation.run(500);
    simulation.workers.get(0).disconnected = true;
    simulation.replaceOwner();
    simulation.run(3_000);
    simulation.workers.get(0).disconnected = false;
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void aCancelledJobStopsAtOnce() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = simulation.submit(List.of(StepBuilder.step(2, 2_000, 60_000)), 0);
    simulation.run(500);
    simulation.cancel(job);
    simulation.run(300);
    assertEquals(JobPhase.CANCELLED, job.storedPhase());
    assertFalse(simulation.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
  }

  @Test
  void aTaskThatAlwaysFailsFailsItsJob() {
    PoolSimulation simulation = new PoolSimulation(SEED, 3);
    simulation.failingRunRate = 1;
    Job job = simulation.submit(List.of(StepBuilder.step(1, 1_000, 100)), 0);
    simulation.run(10_000);
    assertEquals(JobPhase.FAILED, job.storedPhase());
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void eachFailureCountsOnceInAnyOrderOfTheReports() {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 1_000, 100)), 0);
    Task task = job.openSteps().get(0).tasks().get(0);
    for (int attempt : new int[] {3, 1, 1, 2}) {
      job.recordTaskFailure(task, attempt, 0);
    }
    assertEquals(3, task.failures());
    assertEquals(JobPhase.FAILED, job.phase());
  }

  @Test
  void longRunningTasksLeaveADrainingWorkerBeforeItShutsDown() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = simulation.submit(List.of(StepBuilder.longRunning(2, 2_000)), 0);
    simulation.run(500);
    simulation.workers.get(0).draining = true;
    simulation.workers.get(1).draining = false;
    simulation.run(1_000);
    assertTrue(simulation.owner.workers().get(0).isIdle());
    assertTrue(simulation.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
    assertTrue(simulation.oracle.isRunning(new TaskId(job.id(), 0, 0, 1)));
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void aWithdrawnSubmissionIsNeverStored() {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 1_000, 100)), 0);
    assertEquals(List.of(job), simulation.owner.withdrawUnstored());
    simulation.run(1_000);
    assertTrue(simulation.owner.find(job.id()).isEmpty());
    assertFalse(job.isStored());
  }

  @Test
  void aNewOwnerDoesNotWaitForAWorkerThatWasDrained() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 2_000)), 0);
    simulation.run(500);
    SimulatedWorker drained = simulation.workers.get(0);
    drained.draining = true;
    simulation.run(1_000);
    drained.crash(simulation.now);
    simulation.owner.workerUnlisted(drained.id);
    simulation.run(1_500);
    simulation.workers.get(1).crash(simulation.now);
    simulation.replaceOwner();
    simulation.workers.get(1).restart(simulation.now);
    simulation.run(1_500);
    assertTrue(simulation.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
  }
}
