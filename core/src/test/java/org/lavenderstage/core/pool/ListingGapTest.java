package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/** A worker's listing goes and comes back while the worker runs on. */
class ListingGapTest {
  private static final long SEED = 1;

  /**
   * A worker that was forgotten and listed again while an append was under way was put and dropped
   * by the next append, in this order: no later owner knew that it had to be asked.
   */
  @Test
  void aWorkerThatIsListedAgainBeforeItsRemovalIsStoredIsKnownToTheNextOwner() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.listingsToldOnce = true;
    world.reportsWaitForEnds = true;
    world.run(300);
    world.listingLagMillis = 300;
    world.appendMillis = 5_000;
    SimulatedWorker worker = world.workers.get(1);
    world.submit(List.of(StepBuilder.step(1, 100, 100)), 2);
    world.run(100);
    worker.cut = true;
    world.unlisted.add(worker);
    world.run(3_000);
    worker.cut = false;
    world.unlisted.remove(worker);
    world.run(3_000);
    world.appendMillis = 5;
    world.run(6_000);
    world.submit(List.of(StepBuilder.longRunning(2, 3_500)), 2);
    world.run(1_000);
    world.replaceOwner();
    world.run(8_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /** The same as above, among random jobs, cuts, crashes and new owners. */
  @ParameterizedTest
  @ValueSource(longs = {188, 1008, 1048})
  void noTaskRunsTwiceWhereListingsGoAndComeBackWhileTheStoreIsSlow(long seed) {
    PoolWorld world =
        PoolFaults.play(
            seed,
            PoolFaults.of(
                Fault.LISTINGS, Fault.CRASH, Fault.NEW_OWNER, Fault.STORE_SLOW, Fault.CUT));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }
}
