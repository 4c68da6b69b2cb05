package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/** Random jobs on workers that refuse starts for a while: no task runs twice. */
class PoolRefusalFuzzTest {
  /** Starts without an answer were given up for a refusal, and carried out beside another run. */
  @ParameterizedTest
  @ValueSource(longs = {4, 7, 9})
  void noTaskRunsTwiceWhereWorkersCallThemselvesUnhealthy(long seed) {
    PoolSimulation simulation = PoolFaults.play(seed, PoolFaults.of(Fault.UNHEALTHY));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /** Starts that were held back were given up for want of room, and carried out later. */
  @ParameterizedTest
  @ValueSource(longs = {2, 4, 9})
  void noTaskRunsTwiceWhereWorkersLackRoomForAWhile(long seed) {
    PoolSimulation simulation = PoolFaults.play(seed, PoolFaults.of(Fault.TAKEN_ROOM));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
