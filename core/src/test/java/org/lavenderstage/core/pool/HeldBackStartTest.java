package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Workers hold starts back, and restart. Tasks wait for the starts that may still be carried out,
 * and for no others.
 */
class HeldBackStartTest extends LateOrderScenario {

  private Job submit(int tasks, int cpuMillis, long millis) {
    return simulation.submit(List.of(StepBuilder.step(tasks, cpuMillis, millis)), 0);
  }

  private Job submit() {
    return submit(1, 1_000, TASK_MILLIS);
  }

  private void restartSeenThenDisconnect(SimulatedWorker worker) {
    restart(worker);
    simulation.run(450);
    worker.disconnected = true;
  }

  private SimulatedWorker other(SimulatedWorker worker) {
    return simulation.workers.stream().filter(w -> w != worker).findFirst().orElseThrow();
  }

  private void assertLateRunIsTheOnlyOne(SimulatedWorker worker, TaskId task, long maxMillis) {
    runUntil(() -> worker.runs(task) || !simulation.oracle.violations.isEmpty(), maxMillis);
    simulation.run(30_000);
    assertNoViolations();
  }

  /** A new incarnation runs the task from the second copy; the first copy stays held back. */
  private SimulatedWorker startOnSecondIncarnationWhileFirstCopyIsHeldBack() {
    delayNextStart(9_000);
    Job job = submit();
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(590);
    restart(worker);
    runUntil(() -> worker.runs(taskOf(job)), 1_000);
    simulation.run(2_500);
    assertTrue(simulation.history.stream().anyMatch(l -> l.contains("WORKER_REBORN")));
    return worker;
  }

  /** Late order, one owner; first restart seen and confirmed, second restart unseen. */
  @Test
  void confirmationOfOneIncarnationDoesNotForgetStartsThatTheNextOneCarriesOutUnseen() {
    SimulatedWorker worker = startOnSecondIncarnationWhileFirstCopyIsHeldBack();
    TaskId task = sentStarts.get(0).run().task().id();
    worker.disconnected = true;
    simulation.run(300);
    simulation.restartUnseen(worker);
    assertLateRunIsTheOnlyOne(worker, task, 9_000);
  }

  /** Late order, one owner; both restarts seen. */
  @Test
  void confirmationOfOneIncarnationDoesNotForgetStartsThatTheNextOneCarriesOut() {
    SimulatedWorker worker = startOnSecondIncarnationWhileFirstCopyIsHeldBack();
    TaskId task = sentStarts.get(0).run().task().id();
    restartSeenThenDisconnect(worker);
    assertLateRunIsTheOnlyOne(worker, task, 9_000);
  }

  /**
   * A delayed acknowledgement reaches the next incarnation after a delayed start that was sent
   * before it. An owner could send none while a start is unanswered. Listed in KNOWN-RED.txt.
   */
  @Test
  @Tag("known-red")
  void noAcknowledgementIsSentWhileAnUnansweredStartMayReachTheNextIncarnation() {
    Job[] job = new Job[1];
    int[] late = new int[1];
    simulation.outcomes =
        order -> {
          answer(order);
          if (order instanceof Order.Poll poll && poll.acknowledgedUpTo() > 0) {
            return PoolSimulation.OrderOutcome.delayed(6_000);
          }
          boolean lateStart =
              order instanceof Order.Start start
                  && job[0] != null
                  && start.run().task().id().equals(taskOf(job[0]));
          return lateStart
              ? PoolSimulation.OrderOutcome.delayed(late[0]++ == 0 ? 3_000 : 100_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    submit(2, 5_000, 300);
    runUntilStartIsSent();
    job[0] = submit(1, 1_000, 500);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(600);
    simulation.outcomes = this::answer;
    restart(worker);
    worker.disconnected = true;
    simulation.run(450);
    runUntil(() -> simulation.oracle.isDone(taskOf(job[0])), 5_000);
    simulation.run(5_000);
    worker.disconnected = false;
    simulation.run(30_000);
    assertNoViolations();
  }

  /** Late order of the former owner; restart seen by the new owner, which has adopted the run. */
  @Test
  void anAdoptedRunWaitsForLateCopiesOfTheFormerOwnerWhereARestartIsKnown() {
    delayNextStart(8_500);
    Job job = submit();
    SimulatedWorker worker = runUntilStartIsSent();
    runUntil(() -> worker.runs(taskOf(job)), 1_000);
    simulation.run(300);
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(2_700);
    restartSeenThenDisconnect(worker);
    assertLateRunIsTheOnlyOne(worker, taskOf(job), 9_000);
  }

  /**
   * Late order of the former owner; the new owner has heard the first incarnation, and its restart
   * is seen while the inherited task still waits for capacity.
   */
  @Test
  void anInheritedTaskThatStillWaitsMindsARestartOfAWorkerThatHasReported() {
    delayNextStart(9_000);
    Job job = submit();
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(50);
    worker.unhealthyUntil = simulation.now + 3_000;
    other(worker).unhealthyUntil = simulation.now + 10_500;
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(1_500);
    restartSeenThenDisconnect(worker);
    assertLateRunIsTheOnlyOne(worker, taskOf(job), 9_000);
  }

  /** Late order; two changes of owner, the first new owner ends before it stores the stop again. */
  @Test
  void theTasksThatMayStartLateOutlastAnOwnerThatStoredNothing() {
    delayNextStart(9_000);
    Job job = submit();
    SimulatedWorker worker = runUntilStartIsSent();
    runUntil(() -> worker.runs(taskOf(job)), 1_000);
    simulation.run(1_000);
    worker.disconnected = true;
    simulation.run(500);
    simulation.restartUnseen(worker);
    simulation.run(1_500);
    WorkerRecord record = (WorkerRecord) simulation.store.get("worker/" + worker.id);
    assertTrue(record.mayStartLate().contains(taskOf(job).toString()));
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.replaceOwnerKnownToHaveEnded();
    assertLateRunIsTheOnlyOne(worker, taskOf(job), 9_000);
  }

  /**
   * Late order, one owner, restart seen: the task was withdrawn from the worker that delays its
   * start, and waits for capacity.
   */
  @Test
  void aWaitingTaskMindsItsDelayedStartOnAWorkerThatHasRestarted() {
    int[] count = new int[1];
    simulation.outcomes =
        order -> {
          answer(order);
          return order instanceof Order.Start
              ? PoolSimulation.OrderOutcome.delayed(count[0]++ == 0 ? 7_000 : 100_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    Job job = submit();
    SimulatedWorker worker = runUntilStartIsSent();
    other(worker).unhealthyUntil = simulation.now + 9_000;
    runUntil(() -> simulation.history.stream().anyMatch(l -> l.contains("RUN_LOST")), 3_000);
    simulation.outcomes = this::answer;
    restartSeenThenDisconnect(worker);
    assertLateRunIsTheOnlyOne(worker, taskOf(job), 9_000);
  }

  /**
   * A delayed poll acknowledges ended runs of the previous incarnation; the next one carries out a
   * delayed start, ends it, carries out the poll and forgets the end. One owner, restart seen.
   */
  @Test
  void aDelayedAcknowledgementDoesNotReachTheEndsOfTheNextIncarnation() {
    List<Order.Poll> acknowledgements = new ArrayList<>();
    simulation.outcomes =
        order -> {
          answer(order);
          if (order instanceof Order.Poll poll && poll.acknowledgedUpTo() > 0) {
            acknowledgements.add(poll);
            return PoolSimulation.OrderOutcome.delayed(6_000);
          }
          return order instanceof Order.Start && !acknowledgements.isEmpty()
              ? PoolSimulation.OrderOutcome.delayed(3_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    // Ends on both workers, which are acknowledged; the acknowledgements are delayed.
    submit(2, 8_000, 300);
    runUntil(() -> acknowledgements.size() >= 2, 4_000);
    simulation.run(600);
    Job job = submit(1, 1_000, 500);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(50);
    simulation.outcomes = this::answer;
    restartSeenThenDisconnect(worker);
    runUntil(() -> simulation.oracle.isDone(taskOf(job)), 5_000);
    simulation.run(5_000);
    worker.disconnected = false;
    simulation.run(30_000);
    assertNoViolations();
  }

  private void assertStartsElsewhereWithin(SimulatedWorker worker, TaskId task, long millis) {
    runUntil(() -> other(worker).runs(task), millis);
  }

  /** The only copy of a start was carried out, and reported; nothing can come late. */
  @Test
  void aReportedTaskWhoseOnlyStartLostItsAnswerDoesNotWaitForDelayedStarts() {
    treatNextStart(PoolSimulation.OrderOutcome.unanswered());
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 1_000)), 0);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(3_500);
    assertTrue(worker.runs(taskOf(job)));
    simulation.history.add(simulation.now + " copies sent: " + sentStarts.size());
    worker.crash(simulation.now);
    assertStartsElsewhereWithin(
        worker, taskOf(job), TIMING.longestForeignLeaseMillis() + START_MILLIS);
  }

  /** The only start was answered by the incarnation that has ended; nothing can come late. */
  @Test
  void aTaskWhoseStartWasAnsweredDoesNotWaitForDelayedStartsOfARestartedWorker() {
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 1_000)), 0);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(100);
    assertTrue(worker.runs(taskOf(job)));
    restartSeenThenDisconnect(worker);
    assertStartsElsewhereWithin(
        worker, taskOf(job), TIMING.longestForeignLeaseMillis() + START_MILLIS);
  }

  /** A reported run that is being stopped as its worker drains cannot start late either. */
  @Test
  void anEvacuatedTaskDoesNotWaitForDelayedStartsOfARestartedWorker() {
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 1_000)), 0);
    SimulatedWorker worker = runUntilStartIsSent();
    simulation.run(5_000);
    assertTrue(worker.runs(taskOf(job)));
    worker.stopMillis = 1_000;
    worker.draining = true;
    runUntil(
        () ->
            simulation.history.stream()
                .anyMatch(l -> l.contains("draining") && l.contains("RUN_STOPPED")),
        1_000);
    worker.draining = false;
    restartSeenThenDisconnect(worker);
    assertStartsElsewhereWithin(
        worker, taskOf(job), TIMING.longestForeignLeaseMillis() + START_MILLIS);
  }

  /**
   * The former owner knew all tasks that may run on the restarted worker, and had stored that it
   * restarted, but no list of them. Listed in KNOWN-RED.txt.
   */
  @Test
  @Tag("known-red")
  void anInheritedTaskThatWasNeverStartedDoesNotWaitForDelayedStartsOfARestartedWorker() {
    delayNextStart(7_000);
    submit(1, 8_000, TASK_MILLIS);
    SimulatedWorker worker = runUntilStartIsSent();
    submit(1, 8_000, 3_000);
    assertEquals(other(worker), runUntilStartIsSent());
    Job waiting = submit(1, 8_000, TASK_MILLIS);
    simulation.run(50);
    restartSeenThenDisconnect(worker);
    simulation.run(200);
    WorkerRecord record = (WorkerRecord) simulation.store.get("worker/" + worker.id);
    assertTrue(record.restartPending());
    assertEquals(0, record.renewalStop());
    simulation.replaceOwnerKnownToHaveEnded();
    assertStartsElsewhereWithin(
        worker, taskOf(waiting), TIMING.longestForeignLeaseMillis() + START_MILLIS);
  }
}
