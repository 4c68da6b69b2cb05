package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/** Random jobs of all kinds under random faults that the scheduler bears: no task runs twice. */
class PoolFaultsFuzzTest {
  private static final int FIXED_SEEDS = 40;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, FIXED_SEEDS);
  }

  private static void play(long seed, Set<Fault> faults) {
    PoolSimulation simulation = PoolFaults.play(seed, faults);
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /** Guards cancels, preemption and slow stops while workers and owners go and the store stalls. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereRunsAreStoppedAndWorkersAndOwnersGo(long seed) {
    play(
        seed,
        PoolFaults.of(
            Fault.CRASH,
            Fault.CUT,
            Fault.NEW_OWNER,
            Fault.STORE_SLOW,
            Fault.STORE_DOWN,
            Fault.CHECKPOINTS,
            Fault.LASTING,
            Fault.CANCEL,
            Fault.SLOW_STOPS));
  }

  /** Guards the records that are dropped while workers drain and owners follow each other. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereWorkersDrainAndOwnersGo(long seed) {
    play(
        seed,
        PoolFaults.of(
            Fault.DRAIN,
            Fault.CRASH,
            Fault.CUT,
            Fault.NEW_OWNER,
            Fault.STORE_SLOW,
            Fault.CHECKPOINTS,
            Fault.LASTING));
  }

  /** Guards against a worker's address that belongs to another worker's next life. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereWorkersRestartAtOtherAddresses(long seed) {
    play(seed, PoolFaults.of(Fault.MOVE, Fault.NEW_OWNER));
  }

  /** Guards gangs, whose members are ordered, broken and started again together. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereGangsAreBrokenAndWorkersRefuseStops(long seed) {
    play(
        seed,
        PoolFaults.of(
            Fault.GANGS,
            Fault.UNHEALTHY,
            Fault.UNHEALTHY_STOPS,
            Fault.CRASH,
            Fault.CUT,
            Fault.NEW_OWNER,
            Fault.SLOW_STOPS));
  }

  /** Guards occurrences that a new owner finds, beside a former one that goes on. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereOccurrencesOverlapAndOwnersGo(long seed) {
    play(
        seed,
        PoolFaults.of(
            Fault.OCCURRENCES, Fault.FORMER_OWNER, Fault.CUT, Fault.STORE_SLOW, Fault.CANCEL));
  }

  /** Guards fillers that are stopped for serving tasks and placed again at once. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereFillersAreMovedAwayFromServingTasks(long seed) {
    play(
        seed,
        PoolFaults.of(
            Fault.FILLING,
            Fault.CHECKPOINTS,
            Fault.UNHEALTHY,
            Fault.UNHEALTHY_STOPS,
            Fault.SLOW_STOPS,
            Fault.NEW_OWNER));
  }

  /** Guards what an owner decides from late answers and after its process stood still. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhereTheOwnerStandsStillAndAnswersAreSlow(long seed) {
    play(
        seed,
        PoolFaults.of(
            Fault.STALLED_OWNER,
            Fault.SUSPENDED_OWNER,
            Fault.SLOW_ANSWERS,
            Fault.UNHEALTHY,
            Fault.UNHEALTHY_STOPS,
            Fault.CRASH,
            Fault.CUT));
  }
}
