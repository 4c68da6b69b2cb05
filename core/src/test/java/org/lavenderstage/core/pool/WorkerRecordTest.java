package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The records of workers in the store, which a later owner waits for. */
class WorkerRecordTest {
  private static final long SEED = 5;
  private static final long APPEND_MILLIS = 3_000;

  /** The record of a worker that is gone before it was stored makes a later owner wait. */
  @Test
  void noRecordIsLeftOfAWorkerThatIsGoneBeforeItsRecordIsStored() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.listingsToldOnce = true;
    simulation.run(1_000);
    simulation.appendMillis = APPEND_MILLIS;
    SimulatedWorker brief = new SimulatedWorker(2, simulation.now, simulation.oracle);
    simulation.workers.add(brief);
    simulation.run(100);
    brief.crash(simulation.now);
    simulation.run(15_000);
    assertFalse(
        simulation.store.containsKey("worker/" + brief.id),
        () -> String.join("\n", simulation.history));
  }

  /** A listing that goes to and fro while appends are under way leaves a worker with its record. */
  @Test
  void aWorkerThatRunsSomethingHasARecordHoweverItsListingChanged() {
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
        boolean idle = worker.shares().isEmpty();
        assertTrue(idle || simulation.store.containsKey("worker/" + worker.id), "gap " + gap);
      }
      assertFalse(worker.shares().isEmpty(), "takes runs again after a gap of " + gap);
      assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    }
  }
}
