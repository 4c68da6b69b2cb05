package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobPhase;

/**
 * Verifies that the number of appends under load is determined by the callers that wait for one,
 * not by the number of runs that end.
 */
class JournalLoadTest {
  private static final long SEED = 3;
  private static final int WORKERS = 33;
  private static final int WORKER_CPU = 32_000;
  private static final int JOBS = 80;
  private static final long INTERVAL_MILLIS = 120;
  private static final int TASKS = 12;

  /** Duration of a step of an owner that falls behind, in milliseconds. */
  private static final long SLOW_STEP_MILLIS = 20;

  /** Time within which changes that no caller waits for share an append, in milliseconds. */
  private static final long SHARED_MILLIS = 100;

  /**
   * Each run that ended caused an append of its own, so an owner with little processor time fell
   * behind.
   */
  @Test
  void endsOfRunsThatNoCallerWaitsForShareTheirAppends() {
    PoolSimulation simulation = new PoolSimulation(SEED, WORKERS);
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.workToEstimateRatio = task -> 1 + task.index() % TASKS;
    }
    simulation.usePlatformDelays();
    simulation.run(1_000);
    for (int i = 0; i < 100; i++) {
      simulation.pacing.recordStep(SLOW_STEP_MILLIS);
    }
    int appendsBefore = simulation.appendCount;
    long startMillis = simulation.now;
    for (int i = 0; i < JOBS; i++) {
      simulation.submit(List.of(StepBuilder.step(TASKS, 2_300, 170)), 0);
      simulation.run(INTERVAL_MILLIS);
    }
    simulation.run(3_000);
    long completed =
        simulation.submitted.values().stream()
            .filter(job -> job.storedPhase() == JobPhase.COMPLETED)
            .count();
    long intervals = (simulation.now - startMillis) / SHARED_MILLIS;
    int appends = simulation.appendCount - appendsBefore;
    assertEquals(JOBS, completed);
    assertTrue(
        appends <= 2 * JOBS + intervals,
        appends + " appends for " + JOBS + " jobs in " + intervals + " intervals");
    assertEquals(List.of(), simulation.oracle.violations);
  }

  /**
   * The owner's thread took most of the processor time from those that serve callers and workers.
   */
  @Test
  void slowStepsAreFollowedByPausesOfSimilarLength() {
    OwnerPacing pacing = new OwnerPacing();
    long pauseBefore = pacing.pauseMillis();
    for (int i = 0; i < 100; i++) {
      pacing.recordStep(SLOW_STEP_MILLIS);
    }
    assertTrue(pauseBefore < SLOW_STEP_MILLIS / 2, "pause at first: " + pauseBefore);
    assertEquals(SLOW_STEP_MILLIS, pacing.pauseMillis());
  }
}
