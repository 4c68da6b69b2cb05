package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.record.JobCancelled;

/** The life of single jobs under virtual time. */
class TaskLifeTest {
  private static final long SETTLE_MILLIS = 5000;
  private static final long CANCEL_MILLIS = 5000;
  private static final long MINUTE_MILLIS = 60_000;

  private final TaskWorld world = new TaskWorld(BrokenVariant.NONE, List.of());

  @Test
  void aCancelledJobStopsWithinFiveSeconds() {
    world.runFor(SETTLE_MILLIS);
    assertTrue(world.oracle().isRunning("long"));
    world.propose(new JobCancelled("long", "workspace"));
    world.runFor(CANCEL_MILLIS);
    assertFalse(world.oracle().isRunning("long"));
    assertEquals(JobPhase.CANCELLED, phase("long"));
  }

  @Test
  void aCancelledJobStopsWithinFiveSecondsThoughItsWorkersAnswersAreLost() {
    world.runFor(SETTLE_MILLIS);
    world.propose(new JobCancelled("long", "workspace"));
    world.strikeOwner(Fault.WORKER_ANSWERS_LOST, 0);
    world.runFor(CANCEL_MILLIS);
    assertFalse(world.oracle().isRunning("long"));
  }

  @Test
  void aJobThatFitsNoWorkerFails() {
    world.runFor(SETTLE_MILLIS);
    world.propose(TaskWorld.job("large", SimulatedWorkers.CPU_MILLIS + 1, 1000));
    world.runFor(SETTLE_MILLIS);
    assertEquals(JobPhase.FAILED, phase("large"));
  }

  @Test
  void aJobThatFailsOnThreeWorkersFails() {
    world.runFor(SETTLE_MILLIS);
    world.workers().failAll();
    world.runFor(MINUTE_MILLIS);
    assertEquals(JobPhase.FAILED, phase("long"));
    assertEquals(CellLedger.MAX_FAILED_WORKERS, world.job("long").orElseThrow().failedOn().size());
  }

  private JobPhase phase(String job) {
    return world.job(job).orElseThrow().phase();
  }
}
