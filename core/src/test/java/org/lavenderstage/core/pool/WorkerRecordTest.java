package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The stored records of workers, for whose reports a later owner waits. */
class WorkerRecordTest {
  private static final long SEED = 5;
  private static final long APPEND_MILLIS = 3_000;

  /** A record that is stored after its worker was removed would make a later owner wait for it. */
  @Test
  void noRecordRemainsOfAWorkerRemovedBeforeItsRecordIsStored() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.listingsSentOnChange = true;
    simulation.run(1_000);
    simulation.appendMillis = APPEND_MILLIS;
    SimulatedWorker shortLived = new SimulatedWorker(2, simulation.now, simulation.oracle);
    simulation.workers.add(shortLived);
    simulation.run(100);
    shortLived.crash(simulation.now);
    simulation.run(15_000);
    assertFalse(
        simulation.store.containsKey("worker/" + shortLived.id),
        () -> String.join("\n", simulation.history));
  }

  /** A worker that starts and stops draining during appends keeps its record while it has runs. */
  @Test
  void aWorkerWithRunsHasARecordHoweverItsListingChanged() {
    for (int gap = 10; gap < 1_500; gap += 70) {
      PoolSimulation simulation = new PoolSimulation(SEED, 2);
      simulation.run(1_000);
      simulation.appendMillis = 300;
      SimulatedWorker worker = simulation.workers.get(0);
      for (int i = 0; i < 6; i++) {
        worker.draining = i % 2 == 0;
        simulation.run(gap);
      }
      simulation.submit(List.of(StepBuilder.longRunning(8, 2_000)), 0);
      for (int i = 0; i < 200; i++) {
        simulation.run(10);
        boolean idle = worker.activeTasks().isEmpty();
        assertTrue(idle || simulation.store.containsKey("worker/" + worker.id), "gap " + gap);
      }
      assertFalse(worker.activeTasks().isEmpty(), "takes runs again after a gap of " + gap);
      assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    }
  }
}
