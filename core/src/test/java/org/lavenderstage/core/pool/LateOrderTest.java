package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;
import org.lavenderstage.core.pool.PoolFaults.Fault;

/**
 * Orders that get no answer are carried out seconds later by the next incarnation of their worker,
 * which has seen no fencing token and is disconnected. No task starts elsewhere while it may run
 * there, and the tasks that cannot run there do not wait for that.
 *
 * <p>No owner can prevent that an incarnation carries out a late start, before any order can reach
 * it, of a task that is done or was started elsewhere after its worker had reported; or of one that
 * was started elsewhere when its lease had expired, if neither a restart nor a delay was known. In
 * the random tests all tasks outlast the simulation, so that none is done, and a worker restarts
 * only if the owner can know in time of each start that the next incarnation will carry out, see
 * {@link DelayedStarts#areKnowable}.
 */
class LateOrderTest extends LateOrderScenario {
  /** Longest delay of an order by the platform's description, in milliseconds. */
  private static final long MAX_ORDER_DELAY_MILLIS = 15_000;

  private static final int FIXED_SEEDS = 60;
  private static final int FRESH_SEEDS = 400;

  /**
   * Delays a renewal of the lease of each worker, then sends a start that is carried out at once
   * and not answered, by workers that have restarted in between.
   *
   * @return the worker of the start
   */
  private SimulatedWorker startUnansweredWhileRenewalsAreDelayed(long millis, Job[] job) {
    List<String> renewed = new ArrayList<>();
    simulation.outcomes =
        order -> {
          answer(order);
          if (order instanceof Order.Poll poll && poll.leaseUntilMillis() > 0) {
            renewed.add(poll.worker().id());
            return PoolSimulation.OrderOutcome.delayed(millis);
          }
          return order instanceof Order.Start
              ? PoolSimulation.OrderOutcome.unanswered()
              : PoolSimulation.OrderOutcome.answered();
        };
    runUntil(() -> renewed.size() == simulation.workers.size(), 1_500);
    simulation.workers.forEach(this::restart);
    job[0] = submit(1);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.outcomes = this::answer;
    simulation.run(50);
    assertTrue(worker.runs(taskOf(job[0])));
    return worker;
  }

  private Job submit(int tasks) {
    return simulation.submit(List.of(StepBuilder.step(tasks, 1_000, TASK_MILLIS)), 0);
  }

  private SimulatedWorker workerOf(TaskId task) {
    return simulation.workers.stream().filter(w -> w.runs(task)).findFirst().orElseThrow();
  }

  private boolean runsBeside(SimulatedWorker worker, TaskId task) {
    return simulation.workers.stream().anyMatch(w -> w != worker && w.up && w.runs(task));
  }

  /**
   * Runs until all leases on a silent worker have expired, and asserts that a task that runs there
   * starts elsewhere then and not before.
   */
  private void assertStartsElsewhereAfterLease(
      SimulatedWorker worker, TaskId task, long lastOrderMillis) {
    assertTrue(worker.runs(task), "the order was not carried out late");
    long latest =
        lastOrderMillis
            + MAX_ORDER_DELAY_MILLIS
            + TIMING.longestForeignLeaseMillis()
            + START_MILLIS;
    runUntil(() -> runsBeside(worker, task), latest - simulation.now);
    assertNoViolations();
    assertFalse(worker.runs(task));
  }

  /** Delays a start, which the next incarnation, listed and then disconnected, carries out. */
  private SimulatedWorker delayStartUntilAfterRestart() {
    delayNextStart(7_000);
    submit(1);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(50);
    restart(worker);
    simulation.run(450);
    worker.disconnected = true;
    return worker;
  }

  /** Guards against a start beside one of the former owner that the next incarnation delayed. */
  @Test
  void aTaskDoesNotStartElsewhereWhileTheNextIncarnationCarriesOutAStartOfTheFormerOwner() {
    SimulatedWorker worker = delayStartUntilAfterRestart();
    simulation.replaceOwnerKnownToHaveEnded();
    long lastOrder = simulation.now;
    simulation.run(6_600);
    assertStartsElsewhereAfterLease(worker, sentStarts.get(0).run().task().id(), lastOrder);
  }

  /** Guards against a restart that a new owner ignores once the leases that it counted are over. */
  @Test
  void anInheritedTaskThatStillWaitsDoesNotStartWhereARestartBecomesKnownAfterTheLeases() {
    delayNextStart(13_000);
    Job job = submit(1);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(50);
    worker.disconnected = true;
    simulation.workers.stream()
        .filter(w -> w != worker)
        .forEach(w -> w.unhealthyUntil = simulation.now + 13_500);
    simulation.replaceOwnerKnownToHaveEnded();
    long lastOrder = simulation.now;
    simulation.run(9_000);
    restart(worker);
    simulation.run(4_200);
    assertStartsElsewhereAfterLease(worker, taskOf(job), lastOrder);
  }

  /** Guards against a start beside one of the same owner that the next incarnation delayed. */
  @Test
  void aTaskDoesNotStartElsewhereWhileTheNextIncarnationCarriesOutItsDelayedStart() {
    SimulatedWorker worker = delayStartUntilAfterRestart();
    long lastOrder = simulation.now;
    simulation.run(6_600);
    assertStartsElsewhereAfterLease(worker, sentStarts.get(0).run().task().id(), lastOrder);
  }

  /** Guards against a lease that delayed renewals of the former owner prolong unseen. */
  @Test
  void aTaskDoesNotStartElsewhereWhileDelayedRenewalsOfTheFormerOwnerProlongItsLease() {
    Job[] job = new Job[1];
    SimulatedWorker worker = startUnansweredWhileRenewalsAreDelayed(6_000, job);
    simulation.run(300);
    worker.disconnected = true;
    simulation.replaceOwnerKnownToHaveEnded();
    long lastOrder = simulation.now;
    simulation.run(6_000);
    assertStartsElsewhereAfterLease(worker, taskOf(job[0]), lastOrder);
  }

  /** Guards against a lease that delayed renewals of the same owner prolong unseen. */
  @Test
  void aTaskDoesNotStartElsewhereWhileDelayedRenewalsProlongItsLease() {
    Job[] job = new Job[1];
    SimulatedWorker worker = startUnansweredWhileRenewalsAreDelayed(6_000, job);
    simulation.run(300);
    worker.disconnected = true;
    long lastOrder = simulation.now;
    simulation.run(6_000);
    assertStartsElsewhereAfterLease(worker, taskOf(job[0]), lastOrder);
  }

  /**
   * Delays a start whose repetition is answered and reported; then its worker is disconnected and
   * restarts behind the disconnection.
   */
  private SimulatedWorker delayAnsweredStartUntilAfterUnseenRestart() {
    delayNextStart(9_000);
    Job job = submit(1);
    SimulatedWorker worker = runUntilStartIsSent();
    runUntil(() -> worker.runs(taskOf(job)), 1_000);
    simulation.run(1_000);
    worker.disconnected = true;
    simulation.run(500);
    simulation.restartUnseen(worker);
    return worker;
  }

  /** Guards against a start beside a held-back copy of a start whose repetition was answered. */
  @Test
  void aTaskDoesNotStartElsewhereWhileAnUnseenIncarnationCarriesOutACopyOfItsStart() {
    SimulatedWorker worker = delayAnsweredStartUntilAfterUnseenRestart();
    long lastOrder = simulation.now;
    simulation.run(7_000);
    assertStartsElsewhereAfterLease(worker, sentStarts.get(0).run().task().id(), lastOrder);
  }

  /** Guards against a held-back copy that only the answer to the repeated start reveals. */
  @Test
  void aTaskDoesNotStartElsewhereWhereNoReportButTheRepeatedStartShowedTheDelay() {
    delayNextStart(9_000);
    Job job = submit(1);
    SimulatedWorker worker = runUntilStartIsSent();
    runUntil(() -> worker.runs(taskOf(job)), 1_000);
    simulation.run(20);
    worker.disconnected = true;
    long lastOrder = simulation.now;
    simulation.run(500);
    simulation.restartUnseen(worker);
    simulation.run(7_800);
    assertStartsElsewhereAfterLease(worker, taskOf(job), lastOrder);
  }

  /** Guards against a stored stop of renewals that leaves out the longest delay of an order. */
  @Test
  void aTaskDoesNotStartElsewhereAfterAStoredStopWhileAnUnseenIncarnationRunsIt() {
    SimulatedWorker worker = delayAnsweredStartUntilAfterUnseenRestart();
    long lastOrder = simulation.now;
    simulation.run(2_500);
    WorkerRecord record = (WorkerRecord) simulation.store.get("worker/" + worker.id);
    assertTrue(record.renewalStop() > 0);
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(4_500);
    assertStartsElsewhereAfterLease(worker, sentStarts.get(0).run().task().id(), lastOrder);
  }

  /** Guards against a start beside a delayed one of a worker that reported and restarted unseen. */
  @Test
  void aTaskDoesNotStartElsewhereWhereItsWorkerReportedWithoutItAndRestartedUnseen() {
    List<Order> polls = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Poll) {
            polls.add(order);
          }
          return answer(order);
        };
    runUntil(() -> !polls.isEmpty(), 1_500);
    simulation.run(900);
    delayNextStart(9_000);
    Job job = submit(1);
    SimulatedWorker worker = runUntilStartIsSent();
    TaskId task = taskOf(job);
    polls.clear();
    simulation.outcomes =
        order -> {
          answer(order);
          if (order instanceof Order.Poll && order.worker().id().equals(worker.id)) {
            polls.add(order);
          }
          return order instanceof Order.Start start && start.worker().id().equals(worker.id)
              ? PoolSimulation.OrderOutcome.delayed(100_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    // The second start has not timed out yet, and a poll after the first one was answered.
    simulation.run(1_150);
    assertTrue(polls.size() > 1);
    worker.disconnected = true;
    simulation.run(500);
    simulation.restartUnseen(worker);
    long lastOrder = simulation.now;
    simulation.run(7_500);
    assertStartsElsewhereAfterLease(worker, task, lastOrder);
  }

  /**
   * Lets the worker of a reported task receive the starts of other tasks and delay them.
   *
   * @return the worker
   */
  private SimulatedWorker delayStartsBesideReportedTask(TaskId task) {
    runUntil(() -> simulation.workers.stream().anyMatch(w -> w.runs(task)), 1_000);
    simulation.run(2_500);
    SimulatedWorker worker = workerOf(task);
    int sentBefore = sentStarts.size();
    simulation.outcomes =
        order -> {
          answer(order);
          return order instanceof Order.Start start && start.worker().id().equals(worker.id)
              ? PoolSimulation.OrderOutcome.delayed(7_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    submit(8);
    runUntil(
        () ->
            sentStarts.stream()
                .skip(sentBefore)
                .anyMatch(start -> start.worker().id().equals(worker.id)),
        1_000);
    simulation.run(50);
    simulation.outcomes = this::answer;
    return worker;
  }

  private void assertStartsElsewhereWithin(SimulatedWorker worker, TaskId task, long millis) {
    runUntil(() -> runsBeside(worker, task), millis);
    simulation.run(MAX_ORDER_DELAY_MILLIS);
    assertNoViolations();
  }

  /**
   * Guards against reported tasks of a crashed worker that wait for unanswered starts of others.
   */
  @Test
  void aReportedTaskOfACrashedWorkerDoesNotWaitForDelayedStartsOfOtherTasks() {
    TaskId task = taskOf(submit(1));
    SimulatedWorker worker = delayStartsBesideReportedTask(task);
    worker.crash(simulation.now);
    assertStartsElsewhereWithin(worker, task, TIMING.longestForeignLeaseMillis() + START_MILLIS);
  }

  /** Guards against the same wait where the restart of the worker is known. */
  @Test
  void aReportedTaskOfARestartedWorkerDoesNotWaitForDelayedStartsOfOtherTasks() {
    TaskId task = taskOf(submit(1));
    SimulatedWorker worker = delayStartsBesideReportedTask(task);
    restart(worker);
    simulation.run(450);
    worker.disconnected = true;
    assertStartsElsewhereWithin(
        worker, task, TIMING.longestForeignLeaseMillis() + START_MILLIS - 450);
  }

  /** Guards against the same wait where a new owner relies on a stored stop of renewals. */
  @Test
  void aReportedTaskDoesNotWaitForDelayedStartsOfOtherTasksAfterAStoredStop() {
    TaskId task = taskOf(submit(1));
    SimulatedWorker worker = delayStartsBesideReportedTask(task);
    worker.crash(simulation.now);
    simulation.run(2_500);
    assertTrue(((WorkerRecord) simulation.store.get("worker/" + worker.id)).renewalStop() > 0);
    simulation.replaceOwnerKnownToHaveEnded();
    assertStartsElsewhereWithin(
        worker, task, TIMING.longestForeignLeaseMillis() + START_MILLIS - 2_500);
  }

  /** Guards against inherited tasks that wait for late orders where no worker has restarted. */
  @Test
  void anInheritedTaskWaitsForTheLongestLeaseOnlyWhereNoRestartIsKnown() {
    TaskId task = taskOf(submit(1));
    SimulatedWorker worker = delayStartsBesideReportedTask(task);
    worker.disconnected = true;
    simulation.replaceOwnerKnownToHaveEnded();
    assertStartsElsewhereWithin(worker, task, TIMING.longestForeignLeaseMillis() + START_MILLIS);
  }

  /** Guards against inherited tasks that wait for late orders though each worker has reported. */
  @Test
  void anInheritedTaskStartsAtOnceWhenTheRestartedWorkerHasReported() {
    Job job = submit(1);
    SimulatedWorker worker = delayStartsBesideReportedTask(taskOf(job));
    restart(worker);
    simulation.run(450);
    simulation.replaceOwnerKnownToHaveEnded();
    runUntil(() -> simulation.workers.stream().anyMatch(w -> w.runs(taskOf(job))), START_MILLIS);
    simulation.run(MAX_ORDER_DELAY_MILLIS);
    assertNoViolations();
  }

  /** Guards against new jobs that wait for what a former owner may have ordered. */
  @Test
  void aTaskSubmittedToANewOwnerStartsAtOnceBesideARestartedSilentWorker() {
    SimulatedWorker worker = delayStartUntilAfterRestart();
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(1_000);
    Job job = submit(1);
    runUntil(() -> runsBeside(worker, taskOf(job)), START_MILLIS);
  }

  private static Set<Fault> faults(Fault first, Fault... rest) {
    Set<Fault> faults = PoolFaults.of(first, rest);
    faults.addAll(
        PoolFaults.of(
            Fault.DISCONNECTION,
            Fault.OTHER_INCARNATION,
            Fault.OUTLASTING_TASKS,
            Fault.MANY_DELAYED_ORDERS,
            Fault.KNOWABLE_DELAYED_STARTS));
    return faults;
  }

  private static final Set<Fault> RESTART_LISTED_LATE =
      faults(Fault.IMMEDIATE_RESTART, Fault.LISTINGS);
  private static final Set<Fault> RESTART_AND_NEW_OWNER =
      faults(Fault.IMMEDIATE_RESTART, Fault.NEW_OWNER_AFTER_KNOWN_END);
  private static final Set<Fault> UNSEEN_RESTART =
      faults(Fault.IMMEDIATE_RESTART, Fault.RESTART_BEHIND_DISCONNECTION);
  private static final Set<Fault> UNSEEN_RESTART_AND_NEW_OWNER =
      faults(
          Fault.IMMEDIATE_RESTART,
          Fault.RESTART_BEHIND_DISCONNECTION,
          Fault.NEW_OWNER_AFTER_KNOWN_END);
  private static final Set<Fault> CRASH_AND_NEW_OWNER =
      faults(Fault.CRASH, Fault.NEW_OWNER_AFTER_KNOWN_END);

  private static void assertNoViolations(long seed, Set<Fault> faults) {
    PoolSimulation simulation = PoolFaults.simulate(seed, faults);
    assertEquals(
        List.of(),
        simulation.oracle.violations,
        () -> "seed " + seed + " " + faults + "\n" + simulation.describeViolations());
  }

  /** Guards against the cases above with random orders, where restarts are listed late. */
  @ParameterizedTest
  @MethodSource("fixedSeeds")
  @ValueSource(longs = {62, 123, 165, 214, 1558, 2136})
  void noTaskRunsTwiceWhereRestartsAreListedLate(long seed) {
    assertNoViolations(seed, RESTART_LISTED_LATE);
  }

  /** Guards against the cases above with random orders, where owners are replaced. */
  @ParameterizedTest
  @MethodSource("fixedSeeds")
  @ValueSource(longs = {13, 64, 147, 159, 2997})
  void noTaskRunsTwiceWhereWorkersRestartAndOwnersAreReplaced(long seed) {
    assertNoViolations(seed, RESTART_AND_NEW_OWNER);
  }

  /** Guards against the cases above with random orders, where restarts are not seen. */
  @ParameterizedTest
  @MethodSource("fixedSeeds")
  @ValueSource(longs = {5, 15, 18, 110, 200, 970, 1437, 1932})
  void noTaskRunsTwiceWhereWorkersRestartUnseen(long seed) {
    assertNoViolations(seed, UNSEEN_RESTART);
  }

  /** Guards against the cases above with random orders, unseen restarts and new owners. */
  @ParameterizedTest
  @MethodSource("fixedSeeds")
  @ValueSource(longs = {87, 124, 125, 259, 583, 1729, 2055, 2338})
  void noTaskRunsTwiceWhereWorkersRestartUnseenAndOwnersAreReplaced(long seed) {
    assertNoViolations(seed, UNSEEN_RESTART_AND_NEW_OWNER);
  }

  /** Guards against the cases above with random orders, workers that are down and new owners. */
  @ParameterizedTest
  @MethodSource("fixedSeeds")
  @ValueSource(longs = {211, 265, 550, 999, 2648})
  void noTaskRunsTwiceWhereWorkersAreDownAndOwnersAreReplaced(long seed) {
    assertNoViolations(seed, CRASH_AND_NEW_OWNER);
  }

  /**
   * Listed in KNOWN-RED.txt: only the answer to a stop shows that the worker held the start back.
   */
  @ParameterizedTest
  @ValueSource(longs = {1988, 2451})
  @Tag("known-red")
  void noTaskRunsTwiceWhereNoAnswerToAStartOrPollShowsTheDelay(long seed) {
    assertNoViolations(seed, UNSEEN_RESTART);
  }

  /** Listed in KNOWN-RED.txt: a late start after several changes of owner, not traced. */
  @ParameterizedTest
  @ValueSource(longs = {1316})
  @Tag("known-red")
  void noTaskRunsTwiceAfterSeveralNewOwnersInARow(long seed) {
    assertNoViolations(seed, UNSEEN_RESTART_AND_NEW_OWNER);
  }

  static LongStream fixedSeeds() {
    return LongStream.rangeClosed(1, FIXED_SEEDS);
  }

  @Test
  @Tag("fresh")
  void noTaskRunsTwiceWithFreshSeeds() {
    Random seeds = new Random();
    for (int i = 0; i < FRESH_SEEDS; i++) {
      long seed = seeds.nextLong();
      assertNoViolations(seed, RESTART_LISTED_LATE);
      assertNoViolations(seed, RESTART_AND_NEW_OWNER);
      assertNoViolations(seed, UNSEEN_RESTART);
      assertNoViolations(seed, UNSEEN_RESTART_AND_NEW_OWNER);
      assertNoViolations(seed, CRASH_AND_NEW_OWNER);
    }
  }
}
