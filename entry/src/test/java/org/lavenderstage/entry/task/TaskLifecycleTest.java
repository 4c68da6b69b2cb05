package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.record.JobCancelled;

/** Tests the lifecycle of single jobs in virtual time. */
class TaskLifecycleTest {
  private static final long SETTLE_MILLIS = 5000;
  private static final long CANCEL_MILLIS = 5000;
  private static final long MINUTE_MILLIS = 60_000;

  private final TaskSimulation simulation = new TaskSimulation(TaskDefect.NONE, List.of());

  @Test
  void aCancelledJobStopsWithinFiveSeconds() {
    simulation.runFor(SETTLE_MILLIS);
    assertTrue(simulation.oracle().isRunning("long"));
    simulation.propose(new JobCancelled("long", "workspace"));
    simulation.runFor(CANCEL_MILLIS);
    assertFalse(simulation.oracle().isRunning("long"));
    assertEquals(JobPhase.CANCELLED, phase("long"));
  }

  @Test
  void aCancelledJobStopsWithinFiveSecondsEvenIfWorkerAnswersAreLost() {
    simulation.runFor(SETTLE_MILLIS);
    simulation.propose(new JobCancelled("long", "workspace"));
    simulation.injectIntoOwner(Fault.WORKER_ANSWERS_LOST, 0);
    simulation.runFor(CANCEL_MILLIS);
    assertFalse(simulation.oracle().isRunning("long"));
  }

  @Test
  void aJobTooLargeForEveryWorkerFails() {
    simulation.runFor(SETTLE_MILLIS);
    simulation.propose(TaskSimulation.job("large", SimulatedWorkers.CPU_MILLIS + 1, 1000));
    simulation.runFor(SETTLE_MILLIS);
    assertEquals(JobPhase.FAILED, phase("large"));
  }

  @Test
  void aJobThatFailsOnThreeWorkersFails() {
    simulation.runFor(SETTLE_MILLIS);
    simulation.workers().failAll();
    simulation.runFor(MINUTE_MILLIS);
    assertEquals(JobPhase.FAILED, phase("long"));
    assertEquals(
        CellLedger.MAX_FAILED_WORKERS, simulation.job("long").orElseThrow().failedOn().size());
  }

  private JobPhase phase(String job) {
    return simulation.job(job).orElseThrow().phase();
  }
}
