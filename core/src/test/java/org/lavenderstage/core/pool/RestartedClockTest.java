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

  private static PoolWorld worldThatHasRun(int workers, long millis) {
    PoolWorld world = new PoolWorld(SEED, workers);
    world.reportsWaitForEnds = true;
    world.lateOrdersPassCuts = true;
    world.run(millis);
    return world;
  }

  private static void restartAll(PoolWorld world) {
    for (SimulatedWorker worker : world.workers) {
      worker.crash(world.now);
      worker.restart(world.now);
    }
  }

  /**
   * A start named the end of its lease by the clock of the worker's former life, hours ahead of the
   * new one's; the worker granted all that it grants, and the owner counted the lease as over.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileARestartedWorkerGrantsMoreThanItWasAsked() {
    PoolWorld world = worldThatHasRun(2, 200);
    world.workers.forEach(worker -> worker.longestLeaseMillis = LONG_LEASE_MILLIS);
    restartAll(world);
    Job job = world.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    world.run(100);
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    world.workers.forEach(worker -> worker.cut = worker.runs(first));
    world.run(12_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /**
   * By the same clock a copy that was held back was not too late for the worker, though the owner
   * took every copy for too late once its lease was over.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileARestartedWorkerHoldsItsStartBack() {
    PoolWorld world = worldThatHasRun(2, 200);
    restartAll(world);
    Set<String> cutOffLater = new HashSet<>();
    world.fates =
        order -> {
          if (!(order instanceof Order.Start start) || start.run().attempt() > 1) {
            return Optional.empty();
          }
          cutOffLater.add(start.worker().id());
          return PoolWorld.Fate.late(8_000);
        };
    world.submit(List.of(StepBuilder.step(1, 2_000, 9_000)), 0);
    world.run(100);
    world.workers.forEach(worker -> worker.cut = cutOffLater.contains(worker.id));
    world.run(12_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /**
   * An order to forget ends that named a number of the former life made the new one forget an end
   * that nobody had seen, and its task started again.
   */
  @Test
  void aRestartedWorkerIsNotToldToForgetEndsThatNobodyHasSeen() {
    PoolWorld world = worldThatHasRun(1, 200);
    world.submitRepeated(List.of(StepBuilder.step(1, 2_000, 100)), 0, 2, 300);
    world.run(100);
    world.appendMillis = 400;
    world.run(100);
    restartAll(world);
    world.run(5_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /** The first of these cases, among random jobs, cuts and late orders. */
  @ParameterizedTest
  @ValueSource(longs = {226, 357, 362})
  void noTaskRunsTwiceWhereWorkersRestartInPlaceAndGrantLongLeases(long seed) {
    PoolWorld world =
        PoolFaults.play(seed, PoolFaults.of(Fault.LONG_LEASES, Fault.PROMPT_RESTART, Fault.CUT));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }

  /** The others of these cases, where the owner's process also stands still for a while. */
  @ParameterizedTest
  @ValueSource(longs = {379, 816, 1925})
  void noTaskRunsTwiceWhereWorkersRestartInPlaceWhileTheOwnerStandsStill(long seed) {
    PoolWorld world =
        PoolFaults.play(seed, PoolFaults.of(Fault.PROMPT_RESTART, Fault.STALLED_OWNER, Fault.CUT));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }
}
