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

/** What becomes of a run after a copy of its start got no answer, order by order. */
class UnansweredStartTest {
  private static final long BORN = 900_000;
  private static final long SEED = 1;

  private final JobScheduler scheduler =
      new JobScheduler(1, new PoolTiming(6_000, 300, 2_500), 120_000, (decision, values) -> {});
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
        BORN);
  }

  private void run(long millis) {
    for (long until = now + millis; now < until; now += 10) {
      sent.addAll(scheduler.step(now, now));
      scheduler.drainChanges().ifPresent(batch -> scheduler.batchStored(batch, now));
    }
  }

  private <T extends Order> T next(Class<T> kind) {
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
    Order.Poll hold = next(Order.Poll.class);
    WorkerReport report = new WorkerReport(now - BORN, BORN, running, List.of());
    scheduler.orderCompleted(hold, new OrderResult.Reported(report), now, now);
  }

  private void submitOne() {
    QueueRules rules = new QueueRules("queue0", "service", 0, 3, 2.0, 1_000);
    StepSpec step = StepBuilder.step(1, 2_000, 4_000);
    scheduler.submit(
        new JobRecord("0000000000000001", rules, now, "payload", List.of(step), 0, 0, 0), now);
  }

  private Order.Start startWithoutAnswer() {
    scheduler.workerListed(listing(false));
    run(50);
    report(List.of());
    submitOne();
    run(100);
    Order.Start first = next(Order.Start.class);
    run(500);
    scheduler.orderCompleted(first, new OrderResult.Unanswered("late"), now, now);
    return first;
  }

  /** The report says that the run is there, so that no copy can start it again. */
  @Test
  void aRunThatTheWorkerHasReportedIsNotStoppedSinceARepeatWasRefused() {
    Order.Start first = startWithoutAnswer();
    run(300);
    final Order.Start second = next(Order.Start.class);
    report(
        List.of(
            new WorkerReport.RunningTask(
                first.run().task().id(), first.run().attempt(), "", 10, 0)));
    scheduler.orderCompleted(second, new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
    run(300);
    assertFalse(hasSent(Order.Stop.class), () -> "stopped: " + sent);
  }

  /** A worker that drains must not be given work later than a while after it said so. */
  @Test
  void anUnansweredStartIsNotRepeatedForeverOnAWorkerThatDrains() {
    startWithoutAnswer();
    run(300);
    scheduler.orderCompleted(next(Order.Start.class), new OrderResult.Unanswered("late"), now, now);
    report(List.of());
    scheduler.workerListed(listing(true));
    run(300);
    // The call that may have been under way at the news ends; 5 s later nothing is repeated.
    if (hasSent(Order.Start.class)) {
      scheduler.orderCompleted(
          next(Order.Start.class), new OrderResult.Unanswered("late"), now, now);
    }
    now += 5_000;
    run(500);
    assertFalse(hasSent(Order.Start.class), () -> "started: " + sent);
  }

  /** Each copy of a start names the end of its lease, and is turned away as late after it. */
  @Test
  void aTaskGoesOnElsewhereWhereStopsAreRefusedUntilEveryCopyOfItsStartIsTooLate() {
    Order.Start first = startWithoutAnswer();
    run(300);
    Order.Start second = next(Order.Start.class);
    scheduler.orderCompleted(second, new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
    for (int i = 0; i < 100; i++) {
      run(300);
      while (hasSent(Order.Stop.class)) {
        scheduler.orderCompleted(
            next(Order.Stop.class), new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
      }
      if (hasSent(Order.Poll.class)) {
        report(List.of());
      }
    }
    assertTrue(now - BORN > second.leaseUntilMillis() + 20_000);
    assertFalse(
        first.run().task().runs().contains(first.run()),
        "30 s of reports without the run, and its task still waits for it");
  }

  /**
   * A repeat that was sent after an answer had been on its way for long named an earlier end of its
   * lease than the copy before it, which counted as too late by the end that the repeat named.
   */
  @Test
  void aTaskStaysWhereACopyOfItsStartIsStillInTimeThoughALaterCopyIsNot() {
    scheduler.workerListed(listing(false));
    run(50);
    report(List.of());
    run(700);
    submitOne();
    run(100);
    Order.Start first = next(Order.Start.class);
    run(500);
    scheduler.orderCompleted(first, new OrderResult.Unanswered("late"), now, now);
    run(100);
    Order.Poll hold = next(Order.Poll.class);
    long made = hold.sentAtMillis() + 10;
    assertTrue(now - made < hold.waitMillis() + 500, "the report is in time");
    WorkerReport old = new WorkerReport(made - BORN, BORN, List.of(), List.of());
    scheduler.orderCompleted(hold, new OrderResult.Reported(old), now, now);
    run(250);
    Order.Start second = next(Order.Start.class);
    scheduler.orderCompleted(second, new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
    while (now + 100 - BORN < first.leaseUntilMillis()) {
      run(100);
      while (hasSent(Order.Stop.class)) {
        scheduler.orderCompleted(
            next(Order.Stop.class), new OrderResult.Rejected(Rejection.UNHEALTHY), now, now);
      }
      if (hasSent(Order.Poll.class)) {
        report(List.of());
      }
      assertTrue(
          first.run().task().runs().contains(first.run()),
          () ->
              "given up at "
                  + (now - BORN)
                  + " of the worker's clock, a copy is in time until "
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

  /** The report that tells whether a stopped run was there need not wait for an end. */
  @Test
  void aTaskStartsElsewhereWithinASecondOfTheRefusalOfALaterCopy() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.timeoutMillis = 500;
    simulation.run(50);
    List<Order> starts = new ArrayList<>();
    simulation.fates =
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
              ? PoolSimulation.Fate.late(5_000)
              : PoolSimulation.Fate.prompt();
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 500)), 0);
    simulation.run(8_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    long refused = timeOf(simulation, "ORDER_REJECTED", "unanswered-copies, 1");
    long elsewhere = timeOf(simulation, "RUN_ORDERED", "attempt, 2,");
    assertTrue(elsewhere - refused < 1_000, "after " + (elsewhere - refused) + " ms");
  }

  /** Attempts of a later term have to be higher than those that a gang used up while it waited. */
  @Test
  void aGangThatWaitsForRoomDoesNotUseUpTheAttemptsOfItsTerm() {
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

  /** A start that meets a restarted worker waits there for the store, though others have room. */
  @Test
  void aTaskWhoseWorkerRestartsInPlaceStartsElsewhereWhileTheStoreIsAway() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    Set<String> ordered = new HashSet<>();
    simulation.fates =
        order ->
            order instanceof Order.Start && ordered.isEmpty()
                ? PoolSimulation.Fate.late(100_000)
                : PoolSimulation.Fate.prompt();
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

  /** Plays a done task whose worker restarts before a held-back copy of the start arrives. */
  private static PoolSimulation playStray(Optional<PoolSimulation.Fate> stopFate) {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    simulation.lateOrdersReachOtherLives = true;
    simulation.run(200);
    List<Order> starts = new ArrayList<>();
    List<Order> stops = new ArrayList<>();
    simulation.fates =
        order -> {
          if (order instanceof Order.Start) {
            starts.add(order);
            return starts.size() == 1
                ? PoolSimulation.Fate.late(6_000)
                : PoolSimulation.Fate.prompt();
          }
          if (order instanceof Order.StopUntracked) {
            stops.add(order);
            return stops.size() == 1 ? stopFate : PoolSimulation.Fate.prompt();
          }
          return PoolSimulation.Fate.prompt();
        };
    simulation.submit(List.of(StepBuilder.step(1, 2_000, 500)), 0);
    simulation.run(2_500);
    SimulatedWorker worker = simulation.workers.get(0);
    worker.crash(simulation.now);
    worker.restart(simulation.now);
    simulation.run(8_000);
    assertFalse(stops.isEmpty(), "no stop of the open start");
    return simulation;
  }

  @Test
  void aStopOfAnOpenStartKeepsARestartedWorkerFromIt() {
    PoolSimulation simulation = playStray(PoolSimulation.Fate.prompt());
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** An unanswered stop of a run without an account is not repeated. */
  @Test
  void aStopOfAnOpenStartThatGetsNoAnswerIsRepeated() {
    PoolSimulation simulation = playStray(PoolSimulation.Fate.late(100_000));
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }
}
