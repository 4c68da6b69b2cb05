package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/**
 * Workers restart in place, and receive orders based on the clock and the ended runs of their
 * previous incarnation. Each order reaches the incarnation that it was sent to; no task runs twice.
 */
class WorkerRestartTest {
  private static final long SEED = 1;

  /** Longest lease that the workers at one of the platform's sites grant, in milliseconds. */
  private static final int MAX_LEASE_MILLIS = 10_000;

  private static PoolSimulation startSimulation(int workers, long millis) {
    return startSimulation(workers, millis, SimulatedWorker.LEASE_MILLIS);
  }

  private static PoolSimulation startSimulation(int workers, long millis, int maxLeaseMillis) {
    PoolSimulation simulation = new PoolSimulation(SEED, workers, maxLeaseMillis);
    simulation.longPolling = true;
    simulation.delayedOrdersIgnoreDisconnection = true;
    simulation.run(millis);
    return simulation;
  }

  private static void restartAll(PoolSimulation simulation) {
    for (SimulatedWorker worker : simulation.workers) {
      worker.crash(simulation.now);
      worker.restart(simulation.now);
    }
  }

  /**
   * Regression: a start named the end of its lease on the clock of the previous incarnation, hours
   * ahead of the new clock. The worker granted its longest lease, and the owner considered the
   * lease expired too early.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileARestartedWorkerGrantsALongerLease() {
    PoolSimulation simulation = startSimulation(2, 200, MAX_LEASE_MILLIS);
    restartAll(simulation);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    simulation.run(100);
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    simulation.workers.forEach(worker -> worker.disconnected = worker.runs(first));
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Regression: by that clock a delayed copy of a start was not too late for the worker, though the
   * owner considered every copy too late once the lease had expired.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileARestartedWorkerDelaysItsStart() {
    PoolSimulation simulation = startSimulation(2, 200);
    restartAll(simulation);
    Set<String> startTargets = new HashSet<>();
    simulation.outcomes =
        order -> {
          if (!(order instanceof Order.Start start) || start.run().attempt() > 1) {
            return Optional.empty();
          }
          startTargets.add(start.worker().id());
          return PoolSimulation.OrderOutcome.delayed(8_000);
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    simulation.run(100);
    simulation.workers.forEach(worker -> worker.disconnected = startTargets.contains(worker.id));
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Regression: an acknowledgement with a number of the previous incarnation made the new one
   * discard an ended run that no owner had seen, and its task started again.
   */
  @Test
  void aRestartedWorkerGetsNoAcknowledgementOfUnseenRuns() {
    PoolSimulation simulation = startSimulation(1, 200);
    simulation.submitRepeated(List.of(StepBuilder.step(1, 2_000, 100)), 0, 2, 300);
    simulation.run(100);
    simulation.appendMillis = 400;
    simulation.run(100);
    restartAll(simulation);
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  private static PoolSimulation startSimulationWithLateListings(int workers) {
    PoolSimulation simulation = new PoolSimulation(SEED, workers, MAX_LEASE_MILLIS);
    simulation.usePlatformDelays();
    simulation.delayedOrdersIgnoreDisconnection = true;
    simulation.delayedOrdersReachOtherIncarnations = true;
    simulation.run(1_000);
    return simulation;
  }

  private static SimulatedWorker workerOf(PoolSimulation simulation, Job job) {
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    return simulation.workers.stream().filter(w -> w.runs(first)).findFirst().orElseThrow();
  }

  /**
   * Regression: a worker took a start before the owner knew of its restart, and granted its longest
   * lease. The owner counted only its own, shorter leases once the worker was disconnected.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileALeaseLastsThatAnUndetectedIncarnationGranted() {
    PoolSimulation simulation = startSimulationWithLateListings(2);
    restartAll(simulation);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 30_000)), 0);
    simulation.run(100);
    SimulatedWorker worker = workerOf(simulation, job);
    simulation.run(1_900);
    worker.disconnected = true;
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** Regression: the same where another entry owns the jobs before the worker is disconnected. */
  @Test
  void aTaskDoesNotStartElsewhereAfterAFailoverWhileALeaseOfAnUndetectedIncarnationLasts() {
    PoolSimulation simulation = startSimulationWithLateListings(2);
    restartAll(simulation);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 30_000)), 0);
    simulation.run(100);
    SimulatedWorker worker = workerOf(simulation, job);
    simulation.run(1_400);
    worker.disconnected = true;
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * Regression: a worker delayed a start that its next incarnation carried out after it had
   * reported, while the task ran elsewhere.
   */
  @Test
  void aDelayedStartIsNotCarriedOutByAnIncarnationThatHasReported() {
    PoolSimulation simulation = startSimulationWithLateListings(2);
    Set<String> startTargets = new HashSet<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Start start && startTargets.isEmpty()) {
            startTargets.add(start.worker().id());
            return PoolSimulation.OrderOutcome.delayed(4_000);
          }
          // Each stop of the delayed start is lost.
          return order instanceof Order.Stop || order instanceof Order.StopUntracked
              ? PoolSimulation.OrderOutcome.delayed(100_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    simulation.run(100);
    for (SimulatedWorker worker : simulation.workers) {
      if (startTargets.contains(worker.id)) {
        worker.crash(simulation.now);
        worker.restart(simulation.now);
      }
    }
    simulation.run(3_000);
    assertEquals(
        1,
        simulation.workers.stream().mapToInt(worker -> worker.activeTasks().size()).sum(),
        "the task runs while the delayed start is still to come");
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * A worker that was removed from the table and is listed again had forgotten its token, and the
   * owner took the rejection of a lower one for another owner's term.
   */
  @Test
  void aWorkerThatIsListedAgainGetsNoLowerFencingTokens() {
    PoolSimulation simulation = startSimulationWithLateListings(1);
    restartAll(simulation);
    simulation.run(2_000);
    SimulatedWorker worker = simulation.workers.get(0);
    worker.disconnected = true;
    simulation.unlisted.add(worker);
    simulation.run(20_000);
    worker.disconnected = false;
    simulation.unlisted.clear();
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 500)), 0);
    simulation.run(3_000);
    assertFalse(simulation.owner.isFenced());
    assertEquals(JobPhase.COMPLETED, job.phase(), () -> String.join("\n", simulation.history));
  }

  /** The first of these cases with random jobs, disconnections and delayed orders. */
  @ParameterizedTest
  @ValueSource(longs = {226, 357, 362})
  void noTaskRunsTwiceWhenWorkersRestartInPlaceAndGrantLongLeases(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(
            seed, PoolFaults.of(Fault.LONG_LEASES, Fault.IMMEDIATE_RESTART, Fault.DISCONNECTION));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /** Regression: orders that were sent before the listing of a restarted worker had come. */
  @ParameterizedTest
  @ValueSource(longs = {733, 2218, 2476, 2512})
  void noTaskRunsTwiceWhenRestartedWorkersAreListedLateAndGrantLongLeases(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(
            seed,
            PoolFaults.of(
                Fault.LONG_LEASES, Fault.IMMEDIATE_RESTART, Fault.DISCONNECTION, Fault.LISTINGS));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /** The other cases with random jobs, where the owner's process is also paused for a while. */
  @ParameterizedTest
  @ValueSource(longs = {379, 816, 1925})
  void noTaskRunsTwiceWhenWorkersRestartInPlaceWhileTheOwnerIsPaused(long seed) {
    PoolSimulation simulation =
        PoolFaults.simulate(
            seed, PoolFaults.of(Fault.IMMEDIATE_RESTART, Fault.PAUSED_OWNER, Fault.DISCONNECTION));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
