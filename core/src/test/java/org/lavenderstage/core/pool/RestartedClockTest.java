package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/**
 * Workers restart in place, and are given orders that are made by the clock and the ends of their
 * former life. Each order reaches the life that it was sent to; no task runs twice.
 */
class RestartedClockTest {
  private static final long SEED = 1;

  /** Longest lease that the workers of one of the platform's sites grant, in milliseconds. */
  private static final int LONG_LEASE_MILLIS = 10_000;

  private static PoolSimulation worldThatHasRun(int workers, long millis) {
    PoolSimulation simulation = new PoolSimulation(SEED, workers);
    simulation.longPolling = true;
    simulation.lateOrdersPassCuts = true;
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
   * A start named the end of its lease by the clock of the worker's former life, hours ahead of the
   * new one's; the worker granted all that it grants, and the owner counted the lease as over.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileARestartedWorkerGrantsMoreThanItWasAsked() {
    PoolSimulation simulation = worldThatHasRun(2, 200);
    simulation.workers.forEach(worker -> worker.longestLeaseMillis = LONG_LEASE_MILLIS);
    restartAll(simulation);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    simulation.run(100);
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    simulation.workers.forEach(worker -> worker.disconnected = worker.runs(first));
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * By the same clock a copy that was held back was not too late for the worker, though the owner
   * took every copy for too late once its lease was over.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileARestartedWorkerHoldsItsStartBack() {
    PoolSimulation simulation = worldThatHasRun(2, 200);
    restartAll(simulation);
    Set<String> cutOffLater = new HashSet<>();
    simulation.fates =
        order -> {
          if (!(order instanceof Order.Start start) || start.run().attempt() > 1) {
            return Optional.empty();
          }
          cutOffLater.add(start.worker().id());
          return PoolSimulation.Fate.late(8_000);
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    simulation.run(100);
    simulation.workers.forEach(worker -> worker.disconnected = cutOffLater.contains(worker.id));
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * An order to forget ends that named a number of the former life made the new one forget an end
   * that nobody had seen, and its task started again.
   */
  @Test
  void aRestartedWorkerIsNotToldToForgetEndsThatNobodyHasSeen() {
    PoolSimulation simulation = worldThatHasRun(1, 200);
    simulation.submitRepeated(List.of(StepBuilder.step(1, 2_000, 100)), 0, 2, 300);
    simulation.run(100);
    simulation.appendMillis = 400;
    simulation.run(100);
    restartAll(simulation);
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** The first of these cases, among random jobs, cuts and late orders. */
  @ParameterizedTest
  @ValueSource(longs = {226, 357, 362})
  void noTaskRunsTwiceWhereWorkersRestartInPlaceAndGrantLongLeases(long seed) {
    PoolSimulation simulation =
        PoolFaults.play(seed, PoolFaults.of(Fault.LONG_LEASES, Fault.PROMPT_RESTART, Fault.CUT));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /** The others of these cases, where the owner's process also stands still for a while. */
  @ParameterizedTest
  @ValueSource(longs = {379, 816, 1925})
  void noTaskRunsTwiceWhereWorkersRestartInPlaceWhileTheOwnerStandsStill(long seed) {
    PoolSimulation simulation =
        PoolFaults.play(seed, PoolFaults.of(Fault.PROMPT_RESTART, Fault.STALLED_OWNER, Fault.CUT));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
