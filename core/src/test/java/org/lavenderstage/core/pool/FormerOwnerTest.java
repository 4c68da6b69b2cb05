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

/** A former owner without the store goes on for a while; no task runs for it and the new one. */
class FormerOwnerTest {
  private static final long SEED = 1;

  /** Longest wait for the answer to a start, in milliseconds; as the platform's client waits. */
  private static final long TIMEOUT_MILLIS = 500;

  /** Longest time that an owner orders after its claim was proved last, in milliseconds. */
  private static final long PROOF_MILLIS = 2_000;

  /** Time that an owner orders while entries follow it that have lost the store too. */
  private static final long FOLLOWED_MILLIS = 12_000;

  /** Returns the worker on which the first task of a job runs. */
  private static SimulatedWorker workerOf(PoolWorld world, Job job) {
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    return world.workers.stream().filter(worker -> worker.runs(first)).findFirst().orElseThrow();
  }

  /**
   * A fenced owner took the run whose repeated start was refused for one that never began, and
   * started its task on a worker that the new owner had not asked yet.
   */
  @Test
  void anOwnerThatIsFencedStartsItsTasksNowhereElse() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.reportsWaitForEnds = true;
    world.timeoutMillis = TIMEOUT_MILLIS;
    world.run(50);
    world.fates =
        order -> order instanceof Order.Start ? PoolWorld.Fate.unanswered() : Optional.empty();
    Job job = world.submit(List.of(StepBuilder.step(1, 2_000, 4_000)), 0);
    world.run(60);
    world.fates = order -> Optional.empty();
    SimulatedWorker first = workerOf(world, job);
    world.workers.stream().filter(worker -> worker != first).forEach(world.beyondOwner::add);
    world.replaceOwnerBesideFormer(PROOF_MILLIS);
    world.run(PROOF_MILLIS);
    world.beyondOwner.clear();
    world.run(5_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /** The same as above, among random jobs and cuts. */
  @ParameterizedTest
  @ValueSource(longs = {665, 1478, 2964})
  void noTaskRunsTwiceBesideAFormerOwnerWhereWorkersAreCutOff(long seed) {
    PoolWorld world = PoolFaults.play(seed, PoolFaults.of(Fault.FORMER_OWNER, Fault.CUT));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }

  /**
   * A worker that restarted in place had forgotten the new term; the former owner, first to reach
   * it, started a task there that the new owner had started elsewhere.
   */
  @Test
  void theFormerOwnerStartsNothingOnAWorkerThatRestartsAfterTheNewOwnerHasAskedIt() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.run(200);
    Job filling = world.submit(List.of(StepBuilder.step(1, 8_000, 30_000)), 2);
    world.submit(List.of(StepBuilder.step(1, 8_000, 1_000)), 2);
    world.run(400);
    world.submit(List.of(StepBuilder.step(1, 8_000, 4_000)), 0);
    world.run(200);
    world.replaceOwnerBesideFormer(PROOF_MILLIS);
    world.run(100);
    SimulatedWorker restarted = workerOf(world, filling);
    world.beyondOwner.add(restarted);
    restarted.crash(world.now);
    restarted.restart(world.now);
    world.run(1_000);
    world.beyondOwner.clear();
    world.run(5_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /**
   * The owner after a process that has ended allowed for no orders of the owner before that one,
   * which renewed a lease once more. In KNOWN-RED.txt.
   */
  @ParameterizedTest
  @ValueSource(longs = {600, 700})
  @Tag("known-red")
  void aTaskDoesNotStartElsewhereWhileAnOwnerBeforeTheLastOneRenewsItsLease(long wait) {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.reportsWaitForEnds = true;
    world.run(200);
    Job job = world.submit(List.of(StepBuilder.step(1, 2_000, 20_000)), 0);
    world.run(300 + wait);
    world.beyondOwner.add(workerOf(world, job));
    world.replaceOwnerBesideFormer(PROOF_MILLIS - 1_000);
    world.run(400);
    world.replaceOwnerAfterKnownEnd();
    world.run(10_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /**
   * The former owner renewed the lease of a worker that the new one could not reach for longer than
   * the new one allowed for, so that the task began elsewhere while it ran.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileAFollowedFormerOwnerRenewsItsLease() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.run(200);
    Job job = world.submit(List.of(StepBuilder.step(4, 2_000, 20_000)), 0);
    world.run(300);
    world.beyondOwner.add(workerOf(world, job));
    world.replaceOwnerBesideFormer(FOLLOWED_MILLIS);
    world.run(FOLLOWED_MILLIS);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /** The same as in the first test, among random jobs and crashes. */
  @ParameterizedTest
  @ValueSource(longs = {715, 1150, 1211, 1416, 1810})
  void noTaskRunsTwiceBesideAFormerOwnerWhereWorkersRestartInPlace(long seed) {
    PoolWorld world = PoolFaults.play(seed, PoolFaults.of(Fault.FORMER_OWNER, Fault.CRASH));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }

  /**
   * A followed former owner started a task on a worker that the new owner did not reach, after the
   * new owner had noted the task's end elsewhere.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 36, 201})
  void noTaskRunsTwiceBesideAFollowedFormerOwnerWhereWorkersAreCutOff(long seed) {
    PoolWorld world = PoolFaults.play(seed, PoolFaults.of(Fault.FOLLOWED_FORMER_OWNER, Fault.CUT));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }

  /**
   * The same where no worker that both owners reach tells the former one of the later. In
   * KNOWN-RED.txt: a majority of entries stands in for the store, and may be wrong.
   */
  @ParameterizedTest
  @ValueSource(longs = {716, 1858, 2542})
  @Tag("known-red")
  void noTaskRunsTwiceBesideAFollowedFormerOwnerThatReachesOtherWorkers(long seed) {
    PoolWorld world = PoolFaults.play(seed, PoolFaults.of(Fault.FOLLOWED_FORMER_OWNER, Fault.CUT));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }

  /**
   * The same in its shortest form: a run that the former owner lost sight of goes on under the
   * later one and is done, and the former owner takes its silence for its end.
   */
  @Test
  @Tag("known-red")
  void aFollowedFormerOwnerStartsNothingAgainThatItHasLostSightOf() {
    PoolWorld world = new PoolWorld(SEED, 2);
    world.reportsWaitForEnds = true;
    world.run(200);
    Job job = world.submit(List.of(StepBuilder.step(1, 2_000, 2_000)), 0);
    world.run(300);
    SimulatedWorker first = workerOf(world, job);
    world.replaceOwnerBesideFormer(FOLLOWED_MILLIS);
    world.workers.forEach(w -> (w == first ? world.beyondFormer : world.beyondOwner).add(w));
    world.run(FOLLOWED_MILLIS);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
  }

  /**
   * A former owner without the store started tasks on workers that had restarted in place since it
   * asked them last, and so knew no term. In KNOWN-RED.txt.
   */
  @ParameterizedTest
  @ValueSource(longs = {308, 432, 1023})
  @Tag("known-red")
  void noTaskRunsTwiceBesideAFormerOwnerThatHasNotSeenWorkersRestart(long seed) {
    PoolWorld world =
        PoolFaults.play(seed, PoolFaults.of(Fault.FORMER_OWNER, Fault.PROMPT_RESTART));
    assertEquals(List.of(), world.oracle.broken, () -> "seed " + seed + "\n" + world.explanation());
  }
}
