package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.placement.Resources;

/**
 * Verifies how often an owner places waiting tasks while reports and ends arrive all the time. Time
 * is virtual: only scheduling rounds take time, and the owner pauses between its steps.
 */
class PlacementLoadTest {
  private static final long SEED = 26;
  private static final int WORKER_COUNT = 33;

  /** Pause of the owner between two steps, in milliseconds. */
  private static final long STEP_PAUSE_MILLIS = 4;

  /** Shortest time until a worker answers an order, in milliseconds. */
  private static final long MIN_ANSWER_MILLIS = 50;

  /** Range of the times until workers answer, in milliseconds. */
  private static final int ANSWER_RANGE_MILLIS = 200;

  private static final long DURATION_MILLIS = 10_000;
  private static final int MAX_ROUNDS_PER_SECOND = 100;

  /** Largest fraction of the owner's time spent in scheduling rounds. */
  private static final double MAX_ROUND_TIME = 0.3;

  private static final long MAX_DELAY_MILLIS = 25;

  private final JobScheduler scheduler =
      new JobScheduler(
          1, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
  private final Random random = new Random(SEED);
  private final Queue<SentOrder> sent =
      new PriorityQueue<>(Comparator.comparingLong(SentOrder::answerAtMillis));
  private final List<Order.Start> starts = new ArrayList<>();
  private final List<WorkerReport.RunningTask> running = new ArrayList<>();
  private long now = 1_000_000;
  private long endNumber;
  private int nextJob;

  private record SentOrder(Order order, long answerAtMillis) {}

  private void listWorkers(int count) {
    for (int i = 0; i < count; i++) {
      scheduler.workerListed(
          new WorkerListing(
              "worker" + i,
              "service",
              "10.0.0." + i + ":80",
              "domain",
              "rack",
              Set.of(),
              new Resources(32_000, 64_000, 0),
              false,
              1));
    }
  }

  private void submit(StepSpec step, int priority) {
    QueueRules rules = new QueueRules("queue" + priority, "service", priority, 3, 2.0, 60_000);
    String id = String.format("%016x", ++nextJob);
    scheduler.submit(new JobRecord(id, rules, now, "payload", List.of(step), 0, 0, 0), now);
  }

  private static StepSpec unplaceable() {
    return StepBuilder.of(10, 1_000, 4_000).requiredLabel("nowhere").build();
  }

  /** Answers the orders that are due, lets the owner make one step, and stores its changes. */
  private void step(long roundMillis, boolean withEnds) {
    while (!sent.isEmpty() && sent.peek().answerAtMillis() <= now) {
      Order order = sent.remove().order();
      OrderResult result =
          order instanceof Order.Poll
              ? new OrderResult.Reported(new WorkerReport(now, 1, running, ends(withEnds)))
              : new OrderResult.Accepted(now);
      scheduler.orderCompleted(order, result, now, now);
    }
    long roundsBefore = scheduler.placementRounds();
    scheduler.step(now, now).forEach(this::send);
    scheduler.placeTasks(now, now).forEach(this::send);
    if (scheduler.placementRounds() > roundsBefore) {
      now += roundMillis;
      scheduler.recordPlacementEnd(now);
    }
    scheduler.drainChanges(now, 0).ifPresent(batch -> scheduler.batchStored(batch, now));
  }

  private List<WorkerReport.EndedTask> ends(boolean withEnds) {
    TaskId unknownTask = new TaskId("00000000000000ff", 0, 0, 0);
    return withEnds
        ? List.of(new WorkerReport.EndedTask(++endNumber, unknownTask, 1, EndKind.DONE, ""))
        : List.of();
  }

  private void send(Order order) {
    long answerMillis = MIN_ANSWER_MILLIS + random.nextInt(ANSWER_RANGE_MILLIS);
    sent.add(new SentOrder(order, now + answerMillis));
    if (order instanceof Order.Start start) {
      starts.add(start);
      running.add(
          new WorkerReport.RunningTask(start.run().task().id(), start.run().attempt(), "", 0, 0));
    }
  }

  /** Issue 26: nearly every step was a scheduling round, and rounds grew with the backlog. */
  @ParameterizedTest
  @CsvSource({"20, 0", "20, 2", "1000, 25", "1000, 100"})
  void schedulingRoundsTakeBoundedPartOfTheTimeWhileReportsArrive(int backlog, long roundMillis) {
    listWorkers(WORKER_COUNT);
    for (int i = 0; i < backlog; i++) {
      submit(unplaceable(), 2);
    }
    long startMillis = now;
    while (now < startMillis + DURATION_MILLIS) {
      step(roundMillis, true);
      now += STEP_PAUSE_MILLIS;
    }
    long rounds = scheduler.placementRounds();
    double seconds = (now - startMillis) / 1_000.0;
    double roundTime = (double) rounds * roundMillis / (now - startMillis);
    String figures = rounds / seconds + " rounds a second, " + roundTime + " of the time";
    assertTrue(rounds <= MAX_ROUNDS_PER_SECOND * seconds && roundTime <= MAX_ROUND_TIME, figures);
    assertTrue(rounds >= seconds, figures);
  }

  /** Guards against an interval between rounds that delays urgent jobs on an idle owner. */
  @ParameterizedTest
  @ValueSource(ints = {0, 5, 10, 15, 20, 35, 50})
  void urgentJobStartsSoonOnAnIdleOwner(int phaseMillis) {
    listWorkers(1);
    runFor(2_000 + phaseMillis);
    submit(StepBuilder.step(1, 1_000, 500), 0);
    long submittedMillis = now;
    while (starts.isEmpty()) {
      runFor(1);
    }
    assertTrue(now - submittedMillis <= MAX_DELAY_MILLIS, now - submittedMillis + " ms");
  }

  /** Guards against an interval between rounds that delays an interrupted long-running task. */
  @Test
  void interruptedLongRunningTaskStartsSoonOnAnIdleOwner() {
    listWorkers(1);
    submit(StepBuilder.longRunning(1, 1_000), 1);
    runFor(3_000);
    assertEquals(1, starts.size());
    running.clear();
    while (starts.get(0).run().task().runs().contains(starts.get(0).run())) {
      runFor(1);
    }
    long interruptedMillis = now;
    while (starts.size() < 2) {
      runFor(1);
    }
    assertTrue(now - interruptedMillis <= MAX_DELAY_MILLIS, now - interruptedMillis + " ms");
  }

  private void runFor(long millis) {
    for (long i = 0; i < millis; i++) {
      step(0, false);
      now++;
    }
  }
}
