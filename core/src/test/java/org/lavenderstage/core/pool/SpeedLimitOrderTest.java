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

/** What becomes of orders to slow fillers beside a serving task, order by order. */
class SpeedLimitOrderTest {
  private static final long BORN = 900_000;
  private static final int TARGET_MILLIS = 24;
  private static final int GOOD_TAIL_MILLIS = 7;
  private static final int BAD_TAIL_MILLIS = 190;
  private static final int SLIGHTLY_BAD_TAIL_MILLIS = 40;
  private static final int FILLER_CPU = 3_500;

  private final Map<TaskId, Integer> running = new HashMap<>();
  private final List<Order> sent = new ArrayList<>();
  private JobScheduler scheduler = scheduler(1);
  private long now = 1_000_000;
  private int fillerLoad = FILLER_CPU;

  private static JobScheduler scheduler(long term) {
    return new JobScheduler(
        term, new PoolTiming(6_000, 300, 2_500), 120_000, (decision, values) -> {});
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
        BORN);
  }

  private static StepSpec step(
      int count, int cpuMillis, String image, boolean lasting, int target) {
    return new StepSpec(
        count, cpuMillis, 4_000, 0, 60_000, List.of(), false, false, false, "", "", 0, false,
        lasting, image, target, !lasting, 0);
  }

  private static JobRecord job(String id, StepSpec step) {
    QueueRules rules = new QueueRules("queue0", "service", 0, 3, 2.0, 1_000);
    return new JobRecord(id, rules, 1_000_000, "payload", List.of(step), 0, 0, 0);
  }

  private static final JobRecord SERVING =
      job("0000000000000001", step(1, 6_400, "serving", true, TARGET_MILLIS));

  private static final JobRecord FILLING =
      job("0000000000000002", step(3, FILLER_CPU, "filling", false, 0));

  private void run(long millis) {
    for (long until = now + millis; now < until; now += 10) {
      sent.addAll(scheduler.step(now, now));
      scheduler.drainChanges().ifPresent(batch -> scheduler.batchStored(batch, now));
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
      scheduler.orderCompleted(start, new OrderResult.Accepted(now - BORN), now, now);
    }
  }

  /** Lets a second pass and the worker report; returns the orders of pace that follow. */
  private List<Order.SetSpeedLimit> report(int tailMillis) {
    run(1_000);
    answerStarts();
    List<WorkerReport.RunningTask> rows = new ArrayList<>();
    running.forEach(
        (task, attempt) -> {
          int load = task.job().equals(SERVING.job()) ? tailMillis : fillerLoad;
          rows.add(new WorkerReport.RunningTask(task, attempt, "", 100, load));
        });
    WorkerReport report = new WorkerReport(now - BORN, BORN, rows, List.of());
    for (Order.Poll hold : take(Order.Poll.class)) {
      scheduler.orderCompleted(hold, new OrderResult.Reported(report), now, now);
    }
    run(50);
    return take(Order.SetSpeedLimit.class);
  }

  private void answer(List<Order.SetSpeedLimit> paces, OrderResult result) {
    paces.forEach(pace -> scheduler.orderCompleted(pace, result, now, now));
  }

  private void accept(List<Order.SetSpeedLimit> paces) {
    answer(paces, new OrderResult.Accepted(now - BORN));
  }

  /** Brings three fillers beside a serving task. */
  private void fill() {
    scheduler.workerListed(listing());
    run(50);
    report(GOOD_TAIL_MILLIS);
    scheduler.submit(SERVING, now);
    run(100);
    answerStarts();
    for (int i = 0; i < 5; i++) {
      report(GOOD_TAIL_MILLIS);
    }
    scheduler.submit(FILLING, now);
    run(100);
    answerStarts();
    accept(report(GOOD_TAIL_MILLIS));
    assertEquals(4, running.size());
  }

  /** Lets the serving task stay over its target until every filler is told to pause. */
  private List<Order.SetSpeedLimit> pauseAll() {
    List<Order.SetSpeedLimit> last = report(BAD_TAIL_MILLIS);
    for (int i = 0; i < 5 && last.stream().noneMatch(pace -> pace.percent() == 0); i++) {
      accept(last);
      last = report(BAD_TAIL_MILLIS);
    }
    return last;
  }

  private static Set<Integer> percents(List<Order.SetSpeedLimit> paces) {
    return paces.stream().map(Order.SetSpeedLimit::percent).collect(Collectors.toUnmodifiableSet());
  }

  private static void assertPaused(
      List<Order.SetSpeedLimit> again, List<Order.SetSpeedLimit> before) {
    assertEquals(runs(before), runs(again));
    assertEquals(Set.of(0), percents(again));
  }

  private static Set<Run> runs(List<Order.SetSpeedLimit> paces) {
    return paces.stream().map(Order.SetSpeedLimit::run).collect(Collectors.toUnmodifiableSet());
  }

  /** Fillers were slowed one by one, a report each, beside a task whose tail showed no limit. */
  @Test
  void allFillersPauseWhereATaskIsOverItsTargetForASecondReport() {
    fill();
    Map<TaskId, Integer> paces = new HashMap<>();
    for (int i = 0; i < 2; i++) {
      List<Order.SetSpeedLimit> ordered = report(SLIGHTLY_BAD_TAIL_MILLIS);
      accept(ordered);
      ordered.forEach(pace -> paces.put(pace.run().task().id(), pace.percent()));
    }
    assertEquals(3, paces.size());
    assertEquals(Set.of(0), Set.copyOf(paces.values()));
  }

  /** A worker may wait a second for an end before it reports, four times within the harm. */
  @Test
  void aWorkerReportsTwiceASecondWhileATaskIsOverItsTarget() {
    fill();
    report(BAD_TAIL_MILLIS);
    List<Order.Poll> holds = take(Order.Poll.class);
    assertTrue(
        !holds.isEmpty() && holds.stream().allMatch(hold -> hold.waitMillis() <= 500),
        () -> "asked for: " + holds);
  }

  /** A pace whose order got no answer was believed to hold. */
  @Test
  void anOrderToPauseThatGetsNoAnswerIsRepeatedAfterTheNextReport() {
    fill();
    List<Order.SetSpeedLimit> lost = pauseAll();
    answer(lost, new OrderResult.Unanswered("late"));
    List<Order.SetSpeedLimit> again = report(BAD_TAIL_MILLIS);
    assertPaused(again, lost);
  }

  /** A pace whose order was rejected was believed to hold. */
  @Test
  void anOrderToPauseThatIsRejectedIsRepeatedAfterTheNextReport() {
    fill();
    List<Order.SetSpeedLimit> rejected = pauseAll();
    answer(rejected, new OrderResult.Rejected(Rejection.UNHEALTHY));
    List<Order.SetSpeedLimit> again = report(BAD_TAIL_MILLIS);
    assertPaused(again, rejected);
  }

  /** An order without an answer may be carried out after a newer one, which then holds no more. */
  @Test
  void aFillerThatWorksFasterThanItsPaceIsSlowedAgain() {
    fill();
    accept(pauseAll());
    accept(report(BAD_TAIL_MILLIS));
    report(BAD_TAIL_MILLIS);
    List<Order.SetSpeedLimit> again = report(BAD_TAIL_MILLIS);
    assertEquals(Set.of(0), percents(again), () -> "ordered: " + again);
  }

  /** A filler that the former owner paused stood still for good. */
  @Test
  void aFillerOfAFormerOwnerIsGivenItsPaceAnew() {
    fill();
    scheduler = scheduler(2);
    sent.clear();
    scheduler.load(List.of(SERVING, FILLING), now, now);
    scheduler.workerListed(listing());
    fillerLoad = 0;
    run(50);
    List<Order.SetSpeedLimit> paces = report(GOOD_TAIL_MILLIS);
    assertEquals(3, paces.size());
    assertEquals(Set.of(100), percents(paces));
  }

  /** An order to pace answered as outdated by the term was taken for one that was carried out. */
  @Test
  void anOrderToPauseThatIsFencedTellsOfAnotherOwner() {
    fill();
    answer(pauseAll(), new OrderResult.Rejected(Rejection.FENCED));
    assertTrue(scheduler.isFenced());
  }

  /** A report that got lost was learned from as if the one before it had come again. */
  @Test
  void noPaceIsOrderedAfterAReportThatGotNoAnswer() {
    fill();
    accept(report(BAD_TAIL_MILLIS));
    run(1_000);
    for (Order.Poll hold : take(Order.Poll.class)) {
      scheduler.orderCompleted(hold, new OrderResult.Unanswered("lost"), now, now);
    }
    run(50);
    assertEquals(List.of(), take(Order.SetSpeedLimit.class));
  }
}
