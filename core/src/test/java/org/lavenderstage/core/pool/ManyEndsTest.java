package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;

/** A worker has more ends to report than one report holds. */
class ManyEndsTest {
  private static final long SEED = 1;
  private static final int TASKS = WorkerReport.MAX_ENDED + 100;

  private static Job runAll(PoolSimulation simulation) {
    simulation.longPolling = true;
    simulation.run(300);
    simulation.workers.get(1).unhealthyUntil = Long.MAX_VALUE;
    Job job = simulation.submit(List.of(StepBuilder.step(TASKS, 100, 500)), 0);
    simulation.run(30);
    simulation.storeDown = true;
    simulation.run(8_000);
    return job;
  }

  /** A new owner took the first report for all of it, and started what had ended further on. */
  @Test
  void aNewOwnerStartsNothingAgainThatHasEndedBehindTheFirstReport() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = runAll(simulation);
    simulation.workers.get(1).unhealthyUntil = 0;
    simulation.storeDown = false;
    simulation.replaceOwner();
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, simulation.submitted.get(job.id()).storedPhase());
  }

  /** An owner that stays does not take a run for lost whose end is behind the first report. */
  @Test
  void anOwnerStartsNothingAgainWhoseEndIsBehindTheFirstReport() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = runAll(simulation);
    assertTrue(
        simulation.oracle.endCount() > WorkerReport.MAX_ENDED,
        "ends " + simulation.oracle.endCount());
    simulation.workers.get(1).unhealthyUntil = 0;
    simulation.storeDown = false;
    simulation.run(10_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }
}
