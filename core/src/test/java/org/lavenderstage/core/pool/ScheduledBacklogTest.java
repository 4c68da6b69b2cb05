package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.ProgressRecord;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * Load pattern: a scheduled job of which very many occurrences are due at once, or have been done.
 * What the owner does in a step and what it stores must not grow with their number.
 */
class ScheduledBacklogTest {
  private static final long SEED = 3;
  private static final int OCCURRENCES = 100_000;

  /** Far more than the steps below take, and far less than a quadratic cost. */
  private static final Duration TIME_LIMIT = Duration.ofSeconds(20);

  /** Number of steps of some 64 bytes each that the longest record of the store holds. */
  private static final int MAX_LISTED_STEPS = 262_144 / 64;

  private final PoolSimulation simulation = new PoolSimulation(SEED, 4);

  private Job submitBacklog(StepSpec step, int occurrences) {
    return simulation.submitRepeated(List.of(step), 1, occurrences, 0);
  }

  /** Guards against an owner whose thread hung for minutes, so that all leases lapsed. */
  @Test
  void longRunningTasksAndOtherJobsGoOnBesideABacklogOfOccurrences() {
    Assertions.assertTimeoutPreemptively(
        TIME_LIMIT,
        () -> {
          simulation.run(1_000);
          Job lasting = simulation.submit(List.of(StepBuilder.longRunning(4, 2_000)), 0);
          simulation.run(500);
          submitBacklog(StepBuilder.step(1, 100, 100), OCCURRENCES);
          simulation.run(8_000);
          Job other = simulation.submit(List.of(StepBuilder.step(1, 100, 100)), 0);
          simulation.run(2_000);
          assertEquals(JobPhase.COMPLETED, simulation.submitted.get(other.id()).phase());
          for (int i = 0; i < 4; i++) {
            TaskId task = new TaskId(lasting.id(), 0, 0, i);
            assertTrue(simulation.workers.stream().anyMatch(worker -> worker.runs(task)));
          }
        });
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void newOwnerTakesOverABacklogOfOccurrences() {
    Assertions.assertTimeoutPreemptively(
        TIME_LIMIT,
        () -> {
          simulation.run(1_000);
          Job job = submitBacklog(StepBuilder.step(1, 100, 100), OCCURRENCES);
          simulation.run(2_000);
          simulation.replaceOwner();
          simulation.run(12_000);
          assertTrue(simulation.submitted.get(job.id()).progress().doneOccurrences().size() > 0);
        });
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void eachOccurrenceOfABacklogRunsOnce() {
    simulation.run(1_000);
    Job job = submitBacklog(StepBuilder.step(2, 400, 20), 1_500);
    for (int i = 0; i < 200 && !isCompleted(job); i++) {
      simulation.run(500);
    }
    assertTrue(isCompleted(job));
    assertEquals(List.of(), simulation.oracle.violations);
  }

  private boolean isCompleted(Job job) {
    return simulation.submitted.get(job.id()).phase() == JobPhase.COMPLETED;
  }

  /** Guards against a record that grew by each occurrence until the store refused it. */
  @Test
  void recordOfProgressDoesNotGrowWithTheNumberOfDoneOccurrences() {
    simulation.run(1_000);
    Job job = submitBacklog(StepBuilder.step(1, 100, 10), 20_000);
    int mostSteps = 0;
    for (int i = 0; i < 100 && !isCompleted(job); i++) {
      simulation.run(500);
      ProgressRecord progress = simulation.submitted.get(job.id()).progress();
      mostSteps = Math.max(mostSteps, progress.steps().size() + progress.doneOccurrences().size());
    }
    assertTrue(
        simulation.submitted.get(job.id()).progress().doneOccurrences().get(1) > MAX_LISTED_STEPS);
    assertTrue(mostSteps < MAX_LISTED_STEPS, "listed " + mostSteps);
  }
}
