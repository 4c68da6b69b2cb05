package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A worker that has left polls unanswered is used again as soon as it answers. */
class UnresponsiveWorkerTest {
  private static final long SEED = 1;

  /** Time-out of a poll, the pause after it, and two network round trips, in milliseconds. */
  private static final long MAX_SILENCE_MILLIS = 500 + 250 + 50;

  /**
   * Guards against polls to an unresponsive worker that let it wait for a run to end: it counted as
   * unresponsive, with no renewed leases, until that wait was over.
   */
  @ParameterizedTest
  @ValueSource(longs = {600, 1_300, 2_000, 2_700})
  void aWorkerIsUsedAgainWithoutTheUsualWaitOfItsReport(long disconnectedMillis) {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    simulation.usePlatformDelays();
    simulation.run(1_000);
    simulation.submit(List.of(StepBuilder.longRunning(2, 1_000)), 0);
    simulation.run(2_000);
    SimulatedWorker worker = simulation.workers.get(0);
    worker.disconnected = true;
    long untilMillis = simulation.now + disconnectedMillis;
    simulation.run(disconnectedMillis);
    while (!simulation.owner.workers().get(0).isUnresponsive()) {
      simulation.run(10);
    }
    worker.disconnected = false;
    long reachableMillis = Math.max(untilMillis, simulation.now);
    while (simulation.owner.workers().get(0).isUnresponsive()) {
      simulation.run(10);
    }
    long silenceMillis = simulation.now - reachableMillis;
    assertTrue(silenceMillis <= MAX_SILENCE_MILLIS, () -> "used again after " + silenceMillis);
  }
}
