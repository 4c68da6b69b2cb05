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
  private static SimulatedWorker workerOf(PoolSimulation simulation, Job job) {
    TaskId first = new TaskId(job.id(), 0, 0, 0);
    return simulation.workers.stream()
        .filter(worker -> worker.runs(first))
        .findFirst()
        .orElseThrow();
  }

  /**
   * A fenced owner took the run whose repeated start was refused for one that never began, and
   * started its task on a worker that the new owner had not asked yet.
   */
  @Test
  void anOwnerThatIsFencedStartsItsTasksNowhereElse() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.timeoutMillis = TIMEOUT_MILLIS;
    simulation.run(50);
    simulation.fates =
        order -> order instanceof Order.Start ? PoolSimulation.Fate.unanswered() : Optional.empty();
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 4_000)), 0);
    simulation.run(60);
    simulation.fates = order -> Optional.empty();
    SimulatedWorker first = workerOf(simulation, job);
    simulation.workers.stream()
        .filter(worker -> worker != first)
        .forEach(simulation.beyondOwner::add);
    simulation.replaceOwnerBesideFormer(PROOF_MILLIS);
    simulation.run(PROOF_MILLIS);
    simulation.beyondOwner.clear();
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** The same as above, among random jobs and cuts. */
  @ParameterizedTest
  @ValueSource(longs = {665, 1478, 2964})
  void noTaskRunsTwiceBesideAFormerOwnerWhereWorkersAreCutOff(long seed) {
    PoolSimulation simulation = PoolFaults.play(seed, PoolFaults.of(Fault.FORMER_OWNER, Fault.CUT));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * A worker that restarted in place had forgotten the new term; the former owner, first to reach
   * it, started a task there that the new owner had started elsewhere.
   */
  @Test
  void theFormerOwnerStartsNothingOnAWorkerThatRestartsAfterTheNewOwnerHasAskedIt() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    Job filling = simulation.submit(List.of(StepBuilder.step(1, 8_000, 30_000)), 2);
    simulation.submit(List.of(StepBuilder.step(1, 8_000, 1_000)), 2);
    simulation.run(400);
    simulation.submit(List.of(StepBuilder.step(1, 8_000, 4_000)), 0);
    simulation.run(200);
    simulation.replaceOwnerBesideFormer(PROOF_MILLIS);
    simulation.run(100);
    SimulatedWorker restarted = workerOf(simulation, filling);
    simulation.beyondOwner.add(restarted);
    restarted.crash(simulation.now);
    restarted.restart(simulation.now);
    simulation.run(1_000);
    simulation.beyondOwner.clear();
    simulation.run(5_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * The owner after a process that has ended allowed for no orders of the owner before that one,
   * which renewed a lease once more. In KNOWN-RED.txt.
   */
  @ParameterizedTest
  @ValueSource(longs = {600, 700})
  @Tag("known-red")
  void aTaskDoesNotStartElsewhereWhileAnOwnerBeforeTheLastOneRenewsItsLease(long wait) {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.run(200);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 20_000)), 0);
    simulation.run(300 + wait);
    simulation.beyondOwner.add(workerOf(simulation, job));
    simulation.replaceOwnerBesideFormer(PROOF_MILLIS - 1_000);
    simulation.run(400);
    simulation.replaceOwnerAfterKnownEnd();
    simulation.run(10_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * The former owner renewed the lease of a worker that the new one could not reach for longer than
   * the new one allowed for, so that the task began elsewhere while it ran.
   */
  @Test
  void aTaskDoesNotStartElsewhereWhileAFollowedFormerOwnerRenewsItsLease() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    Job job = simulation.submit(List.of(StepBuilder.step(4, 2_000, 20_000)), 0);
    simulation.run(300);
    simulation.beyondOwner.add(workerOf(simulation, job));
    simulation.replaceOwnerBesideFormer(FOLLOWED_MILLIS);
    simulation.run(FOLLOWED_MILLIS);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** The same as in the first test, among random jobs and crashes. */
  @ParameterizedTest
  @ValueSource(longs = {715, 1150, 1211, 1416, 1810})
  void noTaskRunsTwiceBesideAFormerOwnerWhereWorkersRestartInPlace(long seed) {
    PoolSimulation simulation =
        PoolFaults.play(seed, PoolFaults.of(Fault.FORMER_OWNER, Fault.CRASH));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * A followed former owner started a task on a worker that the new owner did not reach, after the
   * new owner had noted the task's end elsewhere.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 36, 201})
  void noTaskRunsTwiceBesideAFollowedFormerOwnerWhereWorkersAreCutOff(long seed) {
    PoolSimulation simulation =
        PoolFaults.play(seed, PoolFaults.of(Fault.FOLLOWED_FORMER_OWNER, Fault.CUT));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * The same where no worker that both owners reach tells the former one of the later. In
   * KNOWN-RED.txt: a majority of entries stands in for the store, and may be wrong.
   */
  @ParameterizedTest
  @ValueSource(longs = {716, 1858, 2542})
  @Tag("known-red")
  void noTaskRunsTwiceBesideAFollowedFormerOwnerThatReachesOtherWorkers(long seed) {
    PoolSimulation simulation =
        PoolFaults.play(seed, PoolFaults.of(Fault.FOLLOWED_FORMER_OWNER, Fault.CUT));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }

  /**
   * The same in its shortest form: a run that the former owner lost sight of goes on under the
   * later one and is done, and the former owner takes its silence for its end.
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
    simulation.replaceOwnerBesideFormer(FOLLOWED_MILLIS);
    simulation.workers.forEach(
        w -> (w == first ? simulation.beyondFormer : simulation.beyondOwner).add(w));
    simulation.run(FOLLOWED_MILLIS);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /**
   * A former owner without the store started tasks on workers that had restarted in place since it
   * asked them last, and so knew no term. In KNOWN-RED.txt.
   */
  @ParameterizedTest
  @ValueSource(longs = {308, 432, 1023})
  @Tag("known-red")
  void noTaskRunsTwiceBesideAFormerOwnerThatHasNotSeenWorkersRestart(long seed) {
    PoolSimulation simulation =
        PoolFaults.play(seed, PoolFaults.of(Fault.FORMER_OWNER, Fault.PROMPT_RESTART));
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + "\n" + simulation.describeViolations());
  }
}
