package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/** A worker's listing disappears and returns while the worker keeps running. */
class ListingGapTest {
  private static final long SEED = 1;

  /**
   * Regression: a worker that was removed and listed again during an append was stored and then
   * deleted by the next append, so that no later owner knew that it had to poll the worker.
   */
  @Test
  void aWorkerThatIsListedAgainBeforeItsRemovalIsStoredIsKnownToTheNextOwner() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.listingsSentOnChange = true;
    simulation.longPolling = true;
    simulation.run(300);
    simulation.listingDelayMillis = 300;
    simulation.appendMillis = 5_000;
    SimulatedWorker worker = simulation.workers.get(1);
    simulation.submit(List.of(StepBuilder.step(1, 100, 100)), 2);
    simulation.run(100);
    worker.disconnected = true;
    simulation.unlisted.add(worker);
    simulation.run(3_000);
    worker.disconnected = false;
    simulation.unlisted.remove(worker);
    simulation.run(3_000);
    simulation.appendMillis = 5;
    simulation.run(6_000);
    simulation.submit(List.of(StepBuilder.longRunning(2, 3_500)), 2);
    simulation.run(1_000);
    simulation.replaceOwner();
    simulation.run(8_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** The same with random jobs, disconnections, crashes and new owners. */
  @ParameterizedTest
  @ValueSource(longs = {188, 1008, 1048})
  void noTaskRunsTwiceWhenListingsDisappearAndReturnWhileTheStoreIsSlow(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(
            seed,
            PoolFaults.of(
                Fault.LISTINGS,
                Fault.CRASH,
                Fault.NEW_OWNER,
                Fault.STORE_SLOW,
                Fault.DISCONNECTION));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
