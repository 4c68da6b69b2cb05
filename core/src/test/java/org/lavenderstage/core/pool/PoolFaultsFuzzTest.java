package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/**
 * Random jobs of all kinds under random faults that the scheduler tolerates: no task runs twice.
 */
class PoolFaultsFuzzTest {
  private static final int FIXED_SEEDS = 40;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, FIXED_SEEDS);
  }

  private static void assertNoViolations(long seed, Set<Fault> faults) {
    PoolSimulation simulation = PoolFaults.simulate(seed, faults);
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * Covers cancellation, preemption and slow stops while workers and owners are replaced and the
   * store is slow or unavailable.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenRunsAreStoppedAndWorkersAndOwnersAreReplaced(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.CRASH,
            Fault.DISCONNECTION,
            Fault.NEW_OWNER,
            Fault.STORE_SLOW,
            Fault.STORE_DOWN,
            Fault.CHECKPOINTS,
            Fault.LONG_RUNNING,
            Fault.CANCEL,
            Fault.SLOW_STOPS));
  }

  /** Covers the removal of worker records while workers drain and owners are replaced. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenWorkersDrainAndOwnersAreReplaced(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.DRAIN,
            Fault.CRASH,
            Fault.DISCONNECTION,
            Fault.NEW_OWNER,
            Fault.STORE_SLOW,
            Fault.CHECKPOINTS,
            Fault.LONG_RUNNING));
  }

  /** Covers addresses that another worker uses after its restart. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenWorkersRestartAtOtherAddresses(long seed) {
    assertNoViolations(seed, PoolFaults.of(Fault.ADDRESS_CHANGE, Fault.NEW_OWNER));
  }

  /** Covers gangs, whose members are started, broken and restarted together. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenGangsBreakAndWorkersRejectStops(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.GANGS,
            Fault.UNHEALTHY,
            Fault.UNHEALTHY_STOPS,
            Fault.CRASH,
            Fault.DISCONNECTION,
            Fault.NEW_OWNER,
            Fault.SLOW_STOPS));
  }

  /** Covers occurrences that a new owner finds while the previous one continues. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenOccurrencesOverlapAndOwnersAreReplaced(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.OCCURRENCES,
            Fault.PREVIOUS_OWNER,
            Fault.DISCONNECTION,
            Fault.STORE_SLOW,
            Fault.CANCEL));
  }

  /** Covers best-effort runs that are stopped for serving tasks and placed again at once. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenBestEffortTasksAreMovedAwayFromServingTasks(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.BEST_EFFORT,
            Fault.CHECKPOINTS,
            Fault.UNHEALTHY,
            Fault.UNHEALTHY_STOPS,
            Fault.SLOW_STOPS,
            Fault.NEW_OWNER));
  }

  /** Covers decisions of an owner from late answers and after a pause of its process. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenTheOwnerIsPausedAndAnswersAreSlow(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.PAUSED_OWNER,
            Fault.SUSPENDED_OWNER,
            Fault.SLOW_ANSWERS,
            Fault.UNHEALTHY,
            Fault.UNHEALTHY_STOPS,
            Fault.CRASH,
            Fault.DISCONNECTION));
  }

  /**
   * Covers starts that a worker holds back until it has restarted, while its polls fail at once,
   * and stops of renewals that a next owner relies on.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenRestartedWorkersCarryOutOrdersAndOwnersAreReplaced(long seed) {
    assertNoViolations(
        seed,
        PoolFaults.of(
            Fault.NEW_OWNER,
            Fault.CRASH,
            Fault.DISCONNECTION,
            Fault.LISTINGS,
            Fault.LONG_LEASES,
            Fault.REFUSED_CONNECTIONS,
            Fault.SHORT_DELAYS));
  }
}
