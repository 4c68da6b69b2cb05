package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/**
 * A previous owner without the store continues for a while. No task runs both for it and for the
 * new owner.
 */
class FormerOwnerTest {
  private static final long SEED = 1;

  /** Time-out of a start in milliseconds, as in the platform's client. */
  private static final long TIMEOUT_MILLIS = 500;

  /** Longest time that an owner gives orders after its last confirmation, in milliseconds. */
  private static final long OWNERSHIP_MILLIS = 2_000;

  /**
   * Time that an owner gives orders while entries that have lost the store too follow it, in
   * milliseconds.
   */
  private static final long FOLLOWED_OWNERSHIP_MILLIS = 12_000;

  /** Returns the worker on which the first task of a job runs. */
  private static SimulatedWorker workerOf(PoolSimulation simulation, Job job) {
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    return simulation.workers.stream()
        .filter(worker -> worker.runs(first))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Regression: a fenced owner considered a run as never started because a repeated start was
   * rejected, and started its task on a worker that the new owner had not polled yet.
   */
  @Test
  void aFencedOwnerDoesNotStartItsTasksElsewhere() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.timeoutMillis = TIMEOUT_MILLIS;
    simulation.run(50);
    simulation.outcomes =
        order ->
            order instanceof Order.Start
                ? PoolSimulation.OrderOutcome.unanswered()
                : Optional.empty();
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 4_000)), 0);
    simulation.run(60);
    simulation.outcomes = order -> Optional.empty();
    SimulatedWorker first = workerOf(simulation, job);
    simulation.workers.stream()
        .filter(worker -> worker != first)
        .forEach(simulation.unreachableByOwner::add);
    simulation.replaceOwnerKeepingPrevious(OWNERSHIP_MILLIS);
    simulation.run(OWNERSHIP_MILLIS);
    simulation.unreachableByOwner.clear();
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** The same with random jobs and disconnections. */
  @ParameterizedTest
  @ValueSource(longs = {665, 1478, 2964})
  void noTaskRunsTwiceBesideAPreviousOwnerWhenWorkersAreDisconnected(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(seed, PoolFaults.of(Fault.PREVIOUS_OWNER, Fault.DISCONNECTION));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * Regression: a worker that restarted in place had lost the new term. The previous owner, which
   * reached it first, started a task there that the new owner had started elsewhere.
   */
  @Test
  void thePreviousOwnerStartsNothingOnAWorkerThatRestartsAfterTheNewOwnerPolledIt() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    Job firstJob = simulation.submit(List.of(StepBuilder.step(1, 8_000, 30_000)), 2);
    simulation.submit(List.of(StepBuilder.step(1, 8_000, 1_000)), 2);
    simulation.run(400);
    simulation.submit(List.of(StepBuilder.step(1, 8_000, 4_000)), 0);
    simulation.run(200);
    simulation.replaceOwnerKeepingPrevious(OWNERSHIP_MILLIS);
    simulation.run(100);
    SimulatedWorker restarted = workerOf(simulation, firstJob);
    simulation.unreachableByOwner.add(restarted);
    restarted.crash(simulation.now);
    restarted.restart(simulation.now);
    simulation.run(1_000);
    simulation.unreachableByOwner.clear();
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Regression: an owner whose predecessor had ended made no allowance for the owner before the
   * predecessor, which renewed a lease once more.
   */
  @ParameterizedTest
  @ValueSource(longs = {600, 700})
  void aTaskDoesNotStartElsewhereWhileAnOwnerBeforeTheLastOneRenewsItsLease(long waitMillis) {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.run(200);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 20_000)), 0);
    simulation.run(300 + waitMillis);
    simulation.unreachableByOwner.add(workerOf(simulation, job));
    simulation.replaceOwnerKeepingPrevious(OWNERSHIP_MILLIS - 1_000);
    simulation.run(400);
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(10_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Regression: the previous owner renewed the lease of a worker that the new owner could not reach
   * for longer than the new owner's allowance, so that the task started elsewhere while it ran.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileAFollowedPreviousOwnerRenewsItsLease() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    Job job = simulation.submit(List.of(StepBuilder.step(4, 2_000, 20_000)), 0);
    simulation.run(300);
    simulation.unreachableByOwner.add(workerOf(simulation, job));
    simulation.replaceOwnerKeepingPrevious(FOLLOWED_OWNERSHIP_MILLIS);
    simulation.run(FOLLOWED_OWNERSHIP_MILLIS);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** The same as in the first test, with random jobs and crashes. */
  @ParameterizedTest
  @ValueSource(longs = {715, 1150, 1211, 1416, 1810})
  void noTaskRunsTwiceBesideAPreviousOwnerWhenWorkersRestartInPlace(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(seed, PoolFaults.of(Fault.PREVIOUS_OWNER, Fault.CRASH));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * Regression: a followed previous owner started a task on a worker that the new owner could not
   * reach, after the new owner had stored the task's end on another worker.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 36, 201})
  void noTaskRunsTwiceBesideAFollowedPreviousOwnerWhenWorkersAreDisconnected(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(
            seed, PoolFaults.of(Fault.FOLLOWED_PREVIOUS_OWNER, Fault.DISCONNECTION));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * The same where no worker is reached by both owners, so that none rejects the previous owner's
   * lower term. Listed in KNOWN-RED.txt: a majority of entries replaces the store, and may be
   * wrong.
   */
  @ParameterizedTest
  @ValueSource(longs = {716, 1858, 2542})
  @Tag("known-red")
  void noTaskRunsTwiceBesideAFollowedFormerOwnerThatReachesOtherWorkers(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(
            seed, PoolFaults.of(Fault.FOLLOWED_PREVIOUS_OWNER, Fault.DISCONNECTION));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * The same in its shortest form: a run on a worker that the previous owner cannot reach continues
   * under the new owner and is done, and the previous owner considers it lost.
   */
  @Test
  @Tag("known-red")
  void aFollowedFormerOwnerStartsNothingAgainThatItHasLostSightOf() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.run(200);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 2_000)), 0);
    simulation.run(300);
    SimulatedWorker first = workerOf(simulation, job);
    simulation.replaceOwnerKeepingPrevious(FOLLOWED_OWNERSHIP_MILLIS);
    simulation.workers.forEach(
        w ->
            (w == first ? simulation.unreachableByPreviousOwner : simulation.unreachableByOwner)
                .add(w));
    simulation.run(FOLLOWED_OWNERSHIP_MILLIS);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * A previous owner that nobody follows counts the lease of a worker that it has lost sight of as
   * over, after the new owner has learned there that the task is done. Listed in KNOWN-RED.txt.
   */
  @Test
  @Tag("known-red")
  void aFormerOwnerStartsNothingAgainWhoseLeaseEndsAfterTheNextClaim() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.run(200);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 2_000)), 0);
    simulation.run(300);
    SimulatedWorker first = workerOf(simulation, job);
    simulation.unreachableByOwner.add(first);
    simulation.run(5_000);
    simulation.unreachableByOwner.clear();
    simulation.replaceOwnerKeepingPrevious(OWNERSHIP_MILLIS);
    simulation.workers.forEach(
        w ->
            (w == first ? simulation.unreachableByPreviousOwner : simulation.unreachableByOwner)
                .add(w));
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * A previous owner without the store starts tasks on workers that have restarted in place since
   * its last poll and therefore know no term. Listed in KNOWN-RED.txt.
   */
  @ParameterizedTest
  @ValueSource(longs = {28, 71, 179, 308, 432, 1023})
  @Tag("known-red")
  void noTaskRunsTwiceBesideAFormerOwnerThatHasNotSeenWorkersRestart(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(seed, PoolFaults.of(Fault.PREVIOUS_OWNER, Fault.IMMEDIATE_RESTART));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
