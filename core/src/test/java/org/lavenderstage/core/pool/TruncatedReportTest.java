package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.WorkerRecord;

/** A worker has more ended runs than fit into one report. */
class TruncatedReportTest {
  private static final long SEED = 1;
  private static final int TASKS = WorkerReport.MAX_ENDED + 100;

  private static Job endMoreRunsThanFitInOneReport(PoolSimulation simulation) {
    simulation.longPolling = true;
    simulation.run(300);
    simulation.workers.get(1).unhealthyUntil = Long.MAX_VALUE;
    Job job = simulation.submit(List.of(StepBuilder.step(TASKS, 100, 500)), 0);
    simulation.run(30);
    simulation.storeDown = true;
    simulation.run(8_000);
    return job;
  }

  /**
   * Regression: a new owner considered the first report complete, and started tasks again whose
   * runs were in later reports.
   */
  @Test
  void aNewOwnerDoesNotRepeatRunsMissingFromTheFirstReport() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = endMoreRunsThanFitInOneReport(simulation);
    simulation.workers.get(1).unhealthyUntil = 0;
    simulation.storeDown = false;
    simulation.replaceOwner();
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, simulation.submitted.get(job.id()).storedPhase());
  }

  /**
   * Regression: the same where a stop of renewals lists what may run on the worker; the new owner
   * forgot that list with the worker's first report.
   */
  @Test
  void aNewOwnerDoesNotRepeatRunsMissingFromTheFirstReportAfterAStopOfRenewals() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = endMoreRunsThanFitInOneReport(simulation);
    SimulatedWorker worker = simulation.workers.get(0);
    worker.disconnected = true;
    simulation.storeDown = false;
    simulation.run(2_500);
    assertTrue(((WorkerRecord) simulation.store.get("worker/" + worker.id)).renewalStop() > 0);
    simulation.workers.get(1).unhealthyUntil = 0;
    simulation.replaceOwner();
    simulation.run(200);
    worker.disconnected = false;
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, simulation.submitted.get(job.id()).storedPhase());
  }

  /** The same owner does not consider a run lost because the first report does not contain it. */
  @Test
  void anOwnerDoesNotRepeatRunsMissingFromTheFirstReport() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    Job job = endMoreRunsThanFitInOneReport(simulation);
    assertTrue(
        simulation.oracle.doneCount() > WorkerReport.MAX_ENDED,
        "done tasks: " + simulation.oracle.doneCount());
    simulation.workers.get(1).unhealthyUntil = 0;
    simulation.storeDown = false;
    simulation.run(10_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }
}
