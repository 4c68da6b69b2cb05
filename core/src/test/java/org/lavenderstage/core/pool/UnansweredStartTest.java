package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.placement.Resources;

/** Follows a run after an unanswered copy of its start, order by order. */
class UnansweredStartTest {
  private static final long STARTED_AT_MILLIS = 900_000;
  private static final long SEED = 1;

  private final JobScheduler scheduler =
      new JobScheduler(
          1, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
  private final List<Order> sent = new ArrayList<>();
  private long now = 1_000_000;

  private static WorkerListing listing(boolean draining) {
    return new WorkerListing(
        "w0",
        "service",
        "10.0.0.0:80",
        "domain",
        "rack",
        Set.of("rack"),
        new Resources(8_000, 256_000, 0),
        draining,
        STARTED_AT_MILLIS);
  }

  private void run(long millis) {
    for (long until = now + millis; now < until; now += 10) {
      sent.addAll(scheduler.step(now, now));
      sent.addAll(scheduler.placeTasks(now, now));
      scheduler.drainChanges(now, 0).ifPresent(batch -> scheduler.batchStored(batch, now));
    }
  }

  private <T extends Order> T takeFirst(Class<T> kind) {
    for (int i = 0; i < sent.size(); i++) {
      if (kind.isInstance(sent.get(i))) {
        return kind.cast(sent.remove(i));
      }
    }
    throw new AssertionError("no " + kind.getSimpleName() + " among " + sent);
  }

  private boolean hasSent(Class<? extends Order> kind) {
    return sent.stream().anyMatch(kind::isInstance);
  }

  private void report(List<WorkerReport.RunningTask> running) {
    Order.Poll poll = takeFirst(Order.Poll.class);
    WorkerReport report =
        new WorkerReport(now - STARTED_AT_MILLIS, STARTED_AT_MILLIS, running, List.of());
    scheduler.orderCompleted(poll, new OrderResult.Reported(report), now, now);
  }

  private void submitJob() {
    QueueRules rules = new QueueRules("queue0", "service", 0, 3, 2.0, 1_000);
    StepSpec step = StepBuilder.step(1, 2_000, 4_000);
    scheduler.submit(
        new JobRecord("0000000000000001", rules, now, "payload", List.of(step), 0, 0, 0), now);
  }

  private Order.Start leaveStartUnanswered() {
    scheduler.workerListed(listing(false));
    run(50);
    report(List.of());
    submitJob();
    run(100);
    Order.Start first = takeFirst(Order.Start.class);
    run(500);
    scheduler.orderCompleted(first, new OrderResult.Unanswered("late"), now, now);
    return first;
  }

  /** The report shows that the run exists, so that no copy can start it again. */
  @Test
  void aReportedRunIsNotStoppedBecauseARepeatedStartWasRejected() {
    Order.Start first = leaveStartUnanswered();
    run(300);
    final Order.Start second = takeFirst(Order.Start.class);
    report(
        List.of(
            new WorkerReport.RunningTask(
                first.run().task().id(), first.run().attempt(), "", 10, 0)));
    scheduler.orderCompleted(second, new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
    run(300);
    assertFalse(hasSent(Order.Stop.class), () -> "stopped: " + sent);
  }

  /** A worker must not get new work some time after it started to drain. */
  @Test
  void anUnansweredStartIsNotRepeatedForeverOnADrainingWorker() {
    leaveStartUnanswered();
    run(300);
    scheduler.orderCompleted(
        takeFirst(Order.Start.class), new OrderResult.Unanswered("late"), now, now);
    report(List.of());
    scheduler.workerListed(listing(true));
    run(300);
    // A call in flight when the worker started to drain ends. 5 s later, the start must not be
    // repeated.
    if (hasSent(Order.Start.class)) {
      scheduler.orderCompleted(
          takeFirst(Order.Start.class), new OrderResult.Unanswered("late"), now, now);
    }
    now += 5_000;
    run(500);
    assertFalse(hasSent(Order.Start.class), () -> "started: " + sent);
  }

  /** Each copy of a start names the end of its lease, after which the worker rejects it as late. */
  @Test
  void aTaskIsReleasedOnceEveryCopyOfItsStartIsTooLateThoughStopsAreRejected() {
    Order.Start first = leaveStartUnanswered();
    run(300);
    Order.Start second = takeFirst(Order.Start.class);
    scheduler.orderCompleted(second, new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
    for (int i = 0; i < 100; i++) {
      run(300);
      while (hasSent(Order.Stop.class)) {
        scheduler.orderCompleted(
            takeFirst(Order.Stop.class), new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
      }
      if (hasSent(Order.Poll.class)) {
        report(List.of());
      }
    }
    assertTrue(now - STARTED_AT_MILLIS > second.leaseUntilMillis() + 20_000);
    assertFalse(
        first.run().task().runs().contains(first.run()),
        "30 s of reports do not contain the run, but its task still waits for it");
  }

  /**
   * Regression: after a delayed report, a repeated start named an earlier end of its lease than the
   * copy before it. That copy was considered too late by the lease of the repeat.
   */
  @Test
  void aTaskIsNotReleasedWhileAnyCopyOfItsStartIsInTime() {
    scheduler.workerListed(listing(false));
    run(50);
    report(List.of());
    run(700);
    submitJob();
    run(100);
    Order.Start first = takeFirst(Order.Start.class);
    run(500);
    scheduler.orderCompleted(first, new OrderResult.Unanswered("late"), now, now);
    run(100);
    Order.Poll poll = takeFirst(Order.Poll.class);
    long createdAtMillis = poll.sentAtMillis() + 10;
    assertTrue(
        now - createdAtMillis < poll.waitMillis() + 500,
        "the report must arrive before the time-out");
    WorkerReport outdatedReport =
        new WorkerReport(
            createdAtMillis - STARTED_AT_MILLIS, STARTED_AT_MILLIS, List.of(), List.of());
    scheduler.orderCompleted(poll, new OrderResult.Reported(outdatedReport), now, now);
    run(250);
    Order.Start second = takeFirst(Order.Start.class);
    scheduler.orderCompleted(second, new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
    while (now + 100 - STARTED_AT_MILLIS < first.leaseUntilMillis()) {
      run(100);
      while (hasSent(Order.Stop.class)) {
        scheduler.orderCompleted(
            takeFirst(Order.Stop.class), new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
      }
      if (hasSent(Order.Poll.class)) {
        report(List.of());
      }
      assertTrue(
          first.run().task().runs().contains(first.run()),
          () ->
              "the run was released at "
                  + (now - STARTED_AT_MILLIS)
                  + " ms on the worker's clock, but a copy of its start is valid until "
                  + first.leaseUntilMillis());
    }
  }

  private static long timeOf(PoolSimulation simulation, String decision, String values) {
    return simulation.history.stream()
        .filter(line -> line.contains(decision) && line.contains(values))
        .mapToLong(line -> Long.parseLong(line.split(" ", 2)[0]))
        .findFirst()
        .orElseThrow();
  }

  /** The report that shows whether a stopped run existed must not wait for a run to end. */
  @Test
  void aTaskStartsElsewhereWithinASecondOfTheRejectionOfALaterCopy() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.timeoutMillis = 500;
    simulation.run(50);
    List<Order> starts = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Start) {
            starts.add(order);
            if (starts.size() == 2) {
              simulation.workers.stream()
                  .filter(worker -> worker.id.equals(order.worker().id()))
                  .forEach(worker -> worker.unhealthyUntil = simulation.now + 500);
            }
          }
          return starts.size() == 1 && order instanceof Order.Start
              ? PoolSimulation.OrderOutcome.delayed(5_000)
              : PoolSimulation.OrderOutcome.answered();
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 500)), 0);
    simulation.run(8_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    long rejectedAt = timeOf(simulation, "ORDER_REJECTED", "unanswered-copies, 1");
    long reorderedAt = timeOf(simulation, "RUN_ORDERED", "attempt, 2,");
    assertTrue(
        reorderedAt - rejectedAt < 1_000,
        "started elsewhere after " + (reorderedAt - rejectedAt) + " ms");
  }

  /** A waiting gang must not use up attempts, as those of a later term have to be higher. */
  @Test
  void aGangThatWaitsForCapacityDoesNotUseUpTheAttemptsOfItsTerm() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    simulation.submit(List.of(StepBuilder.step(1, 8_000, 65_000)), 0);
    simulation.run(200);
    StepSpec gang = StepBuilder.of(2, 8_000, 500).gang().build();
    simulation.submit(List.of(gang), 0);
    simulation.run(60_000);
    assertFalse(
        simulation.history.stream()
            .anyMatch(line -> line.contains("RUN_ORDERED") && line.contains("attempt, 1001,")));
  }

  /**
   * Regression: a start on a restarted worker waited there for the store, though other workers had
   * free capacity.
   */
  @Test
  void aTaskWhoseWorkerRestartsStartsElsewhereWhileTheStoreIsUnavailable() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    Set<String> ordered = new HashSet<>();
    simulation.outcomes =
        order ->
            order instanceof Order.Start && ordered.isEmpty()
                ? PoolSimulation.OrderOutcome.delayed(100_000)
                : PoolSimulation.OrderOutcome.answered();
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 500)), 0);
    simulation.run(100);
    simulation.storeDown = true;
    SimulatedWorker chosen = chosenWorker(simulation);
    chosen.crash(simulation.now);
    chosen.restart(simulation.now);
    simulation.run(1_000);
    ordered.add("first");
    simulation.run(8_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertTrue(job.phase() == JobPhase.COMPLETED, () -> String.join("\n", simulation.history));
  }

  private static SimulatedWorker chosenWorker(PoolSimulation simulation) {
    String line =
        simulation.history.stream()
            .filter(l -> l.contains("RUN_ORDERED"))
            .findFirst()
            .orElseThrow();
    return simulation.workers.stream()
        .filter(w -> line.contains("worker, " + w.id + ","))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Runs a task to its end, and restarts its worker before a delayed copy of the start arrives.
   *
   * @param pollOutcome outcome of the first poll with the raised fencing token
   */
  private static void restartBeforeDelayedStart(Optional<PoolSimulation.OrderOutcome> pollOutcome) {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    simulation.delayedOrdersReachOtherIncarnations = true;
    simulation.run(200);
    List<Order> starts = new ArrayList<>();
    List<Order> raisedPolls = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Start) {
            starts.add(order);
            return starts.size() == 1
                ? PoolSimulation.OrderOutcome.delayed(6_000)
                : PoolSimulation.OrderOutcome.answered();
          }
          if (order instanceof Order.Poll
              && !starts.isEmpty()
              && order.fencingToken() > starts.get(0).fencingToken()) {
            raisedPolls.add(order);
            return raisedPolls.size() == 1 ? pollOutcome : PoolSimulation.OrderOutcome.answered();
          }
          return PoolSimulation.OrderOutcome.answered();
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 500)), 0);
    simulation.run(2_500);
    SimulatedWorker worker = simulation.workers.get(0);
    worker.crash(simulation.now);
    worker.restart(simulation.now);
    simulation.run(8_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(List.of(starts.get(0)), worker.fencedOrders, "the delayed start is ignored");
  }

  @Test
  void aRaisedFencingTokenPreventsAnUnansweredStartOnARestartedWorker() {
    restartBeforeDelayedStart(PoolSimulation.OrderOutcome.answered());
  }

  /** The token is known to the worker only once a poll with it was answered. */
  @Test
  void anUnansweredPollWithARaisedFencingTokenIsRepeated() {
    restartBeforeDelayedStart(PoolSimulation.OrderOutcome.delayed(100_000));
  }
}
