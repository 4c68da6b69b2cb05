package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.placement.Resources;

/** Verifies the orders that slow best-effort tasks beside a serving task, one order at a time. */
class SpeedLimitOrderTest {
  private static final long STARTED_AT = 900_000;
  private static final int TARGET_MILLIS = 24;
  private static final int LOW_LATENCY_MILLIS = 7;
  private static final int HIGH_LATENCY_MILLIS = 190;
  private static final int RAISED_LATENCY_MILLIS = 40;
  private static final int BEST_EFFORT_CPU = 3_500;

  private final Map<TaskId, Long> running = new HashMap<>();
  private final List<Order> sent = new ArrayList<>();
  private JobScheduler scheduler = scheduler(1);
  private long now = 1_000_000;
  private int bestEffortCpuUse = BEST_EFFORT_CPU;

  private static JobScheduler scheduler(long term) {
    return new JobScheduler(
        term, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
  }

  private static WorkerListing listing() {
    return new WorkerListing(
        "w0",
        "service",
        "10.0.0.0:80",
        "domain",
        "rack",
        Set.of("rack"),
        new Resources(32_000, 256_000, 0),
        false,
        STARTED_AT);
  }

  private static StepSpec step(
      int count, int cpuMillis, String image, boolean longRunning, int target) {
    return new StepSpec(
        count,
        cpuMillis,
        4_000,
        0,
        60_000,
        List.of(),
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        longRunning,
        image,
        target,
        !longRunning,
        0);
  }

  private static JobRecord job(String id, StepSpec step) {
    QueueRules rules = new QueueRules("queue0", "service", 0, 3, 2.0, 1_000);
    return new JobRecord(id, rules, 1_000_000, "payload", List.of(step), 0, 0, 0);
  }

  private static final JobRecord SERVING =
      job("0000000000000001", step(1, 6_400, "serving", true, TARGET_MILLIS));

  private static final JobRecord BEST_EFFORT =
      job("0000000000000002", step(3, BEST_EFFORT_CPU, "best-effort", false, 0));

  private void run(long millis) {
    for (long until = now + millis; now < until; now += 10) {
      sent.addAll(scheduler.step(now, now));
      sent.addAll(scheduler.placeTasks(now, now));
      scheduler.drainChanges(now, 0).ifPresent(batch -> scheduler.batchStored(batch, now));
    }
  }

  private <T extends Order> List<T> take(Class<T> kind) {
    List<T> taken = sent.stream().filter(kind::isInstance).map(kind::cast).toList();
    sent.removeAll(taken);
    return taken;
  }

  private void answerStarts() {
    for (Order.Start start : take(Order.Start.class)) {
      running.put(start.run().task().id(), start.run().attempt());
      scheduler.orderCompleted(start, new OrderResult.Accepted(now - STARTED_AT), now, now);
    }
  }

  /** Lets one second pass and the worker report; returns the resulting speed orders. */
  private List<Order.SetSpeedLimit> report(int tailLatencyMillis) {
    run(1_000);
    answerStarts();
    List<WorkerReport.RunningTask> rows = new ArrayList<>();
    running.forEach(
        (task, attempt) -> {
          int load = task.job().equals(SERVING.job()) ? tailLatencyMillis : bestEffortCpuUse;
          rows.add(new WorkerReport.RunningTask(task, attempt, "", 100, load));
        });
    WorkerReport report = new WorkerReport(now - STARTED_AT, STARTED_AT, rows, List.of());
    for (Order.Poll poll : take(Order.Poll.class)) {
      scheduler.orderCompleted(poll, new OrderResult.Reported(report), now, now);
    }
    run(50);
    return take(Order.SetSpeedLimit.class);
  }

  private void answer(List<Order.SetSpeedLimit> orders, OrderResult result) {
    orders.forEach(order -> scheduler.orderCompleted(order, result, now, now));
  }

  private void accept(List<Order.SetSpeedLimit> orders) {
    answer(orders, new OrderResult.Accepted(now - STARTED_AT));
  }

  /** Starts three best-effort tasks beside a serving task. */
  private void startTasks() {
    scheduler.workerListed(listing());
    run(50);
    report(LOW_LATENCY_MILLIS);
    scheduler.submit(SERVING, now);
    run(100);
    answerStarts();
    for (int i = 0; i < 5; i++) {
      report(LOW_LATENCY_MILLIS);
    }
    scheduler.submit(BEST_EFFORT, now);
    run(100);
    answerStarts();
    accept(report(LOW_LATENCY_MILLIS));
    assertEquals(4, running.size());
  }

  /** Lets the serving task exceed its target until all best-effort tasks are ordered to pause. */
  private List<Order.SetSpeedLimit> pauseAll() {
    List<Order.SetSpeedLimit> last = report(HIGH_LATENCY_MILLIS);
    for (int i = 0; i < 5 && last.stream().noneMatch(order -> order.percent() == 0); i++) {
      accept(last);
      last = report(HIGH_LATENCY_MILLIS);
    }
    return last;
  }

  private static Set<Integer> percents(List<Order.SetSpeedLimit> orders) {
    return orders.stream()
        .map(Order.SetSpeedLimit::percent)
        .collect(Collectors.toUnmodifiableSet());
  }

  private static void assertPaused(
      List<Order.SetSpeedLimit> again, List<Order.SetSpeedLimit> before) {
    assertEquals(runs(before), runs(again));
    assertEquals(Set.of(0), percents(again));
  }

  private static Set<Run> runs(List<Order.SetSpeedLimit> orders) {
    return orders.stream().map(Order.SetSpeedLimit::run).collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Best-effort tasks were slowed one per report beside a saturated serving task, whose tail
   * latency does not show the overload.
   */
  @Test
  void allBestEffortTasksPauseAfterSecondReportOverTarget() {
    startTasks();
    Map<TaskId, Integer> percentByTask = new HashMap<>();
    for (int i = 0; i < 2; i++) {
      List<Order.SetSpeedLimit> ordered = report(RAISED_LATENCY_MILLIS);
      accept(ordered);
      ordered.forEach(order -> percentByTask.put(order.run().task().id(), order.percent()));
    }
    assertEquals(3, percentByTask.size());
    assertEquals(Set.of(0), Set.copyOf(percentByTask.values()));
  }

  /**
   * Otherwise a worker may wait a second for a run to end before it reports, a quarter of the time
   * over target that the users accept.
   */
  @Test
  void workerIsPolledTwiceASecondWhileTaskExceedsItsTarget() {
    startTasks();
    report(HIGH_LATENCY_MILLIS);
    List<Order.Poll> polls = take(Order.Poll.class);
    assertTrue(
        !polls.isEmpty() && polls.stream().allMatch(poll -> poll.waitMillis() <= 500),
        () -> "asked for: " + polls);
  }

  /** A speed limit was assumed to be in force although its order got no answer. */
  @Test
  void unansweredPauseOrderIsRepeatedAfterNextReport() {
    startTasks();
    List<Order.SetSpeedLimit> lost = pauseAll();
    answer(lost, new OrderResult.Unanswered("late"));
    List<Order.SetSpeedLimit> again = report(HIGH_LATENCY_MILLIS);
    assertPaused(again, lost);
  }

  /** A speed limit was assumed to be in force although its order was rejected. */
  @Test
  void rejectedPauseOrderIsRepeatedAfterNextReport() {
    startTasks();
    List<Order.SetSpeedLimit> rejected = pauseAll();
    answer(rejected, new OrderResult.Rejected(Rejection.UNHEALTHY));
    List<Order.SetSpeedLimit> again = report(HIGH_LATENCY_MILLIS);
    assertPaused(again, rejected);
  }

  /** An unanswered order may be carried out after a newer one and override it. */
  @Test
  void taskFasterThanItsSpeedLimitIsSlowedAgain() {
    startTasks();
    accept(pauseAll());
    accept(report(HIGH_LATENCY_MILLIS));
    report(HIGH_LATENCY_MILLIS);
    List<Order.SetSpeedLimit> again = report(HIGH_LATENCY_MILLIS);
    assertEquals(Set.of(0), percents(again), () -> "ordered: " + again);
  }

  /** A best-effort task that the previous owner had paused was never resumed. */
  @Test
  void taskOfPreviousOwnerGetsNewSpeedLimit() {
    startTasks();
    scheduler = scheduler(2);
    sent.clear();
    scheduler.load(List.of(SERVING, BEST_EFFORT), new RenewalStops(), now, now);
    scheduler.workerListed(listing());
    bestEffortCpuUse = 0;
    run(50);
    List<Order.SetSpeedLimit> orders = report(LOW_LATENCY_MILLIS);
    assertEquals(3, orders.size());
    assertEquals(Set.of(100), percents(orders));
  }

  /** A speed order rejected because of a newer term was treated as carried out. */
  @Test
  void fencedPauseOrderRevealsNewerOwner() {
    startTasks();
    answer(pauseAll(), new OrderResult.Rejected(Rejection.FENCED));
    assertTrue(scheduler.isFenced());
  }

  /** After a lost report, the previous report was used again. */
  @Test
  void noSpeedLimitIsOrderedAfterUnansweredPoll() {
    startTasks();
    accept(report(HIGH_LATENCY_MILLIS));
    run(1_000);
    for (Order.Poll poll : take(Order.Poll.class)) {
      scheduler.orderCompleted(poll, new OrderResult.Unanswered("lost"), now, now);
    }
    run(50);
    assertEquals(List.of(), take(Order.SetSpeedLimit.class));
  }
}
