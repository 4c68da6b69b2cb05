package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/** Random jobs on workers that reject starts for a while: no task runs twice. */
class StartRejectionFuzzTest {
  /**
   * Regression: an unanswered start was given up when a copy of it was rejected, and was carried
   * out beside another run.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 7, 9})
  void noTaskRunsTwiceWhenWorkersReportThemselvesUnhealthy(long seed) {
    PoolSimulation simulation = PoolFaults.simulate(seed, PoolFaults.of(Fault.UNHEALTHY));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * Regression: a delayed start was given up when a copy of it was rejected for lack of capacity,
   * and was carried out later.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 4, 9})
  void noTaskRunsTwiceWhenWorkersLackCapacityForAWhile(long seed) {
    PoolSimulation simulation = PoolFaults.simulate(seed, PoolFaults.of(Fault.REDUCED_CAPACITY));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
