package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.placement.Resources;

/** Follows runs whose start waits for a later step, since too many starts are due. */
class UnsentStartTest {
  private static final long STARTED_AT_MILLIS = 900_000;
  private static final int TASKS = 72;

  /** Time within which a long-running task must run again; required by the users. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private final JobScheduler scheduler =
      new JobScheduler(
          1, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
  private final Set<String> silent = new HashSet<>();
  private final Map<String, List<WorkerReport.RunningTask>> running = new HashMap<>();
  private final Set<TaskId> started = new HashSet<>();
  private final Map<String, Order.Poll> polls = new HashMap<>();
  private int startsToSilentWorkers;
  private long now = 1_000_000;

  private void list(String id) {
    scheduler.workerListed(
        new WorkerListing(
            id,
            "service",
            "10.0.0.0:80",
            "domain",
            "rack",
            Set.of("rack"),
            new Resources(64_000, 256_000, 0),
            false,
            STARTED_AT_MILLIS));
  }

  private void run(long millis) {
    for (long until = now + millis; now < until; now += 10) {
      List<Order> orders = new ArrayList<>(scheduler.step(now, now));
      scheduler.drainChanges(now, 0).ifPresent(batch -> scheduler.batchStored(batch, now));
      orders.addAll(scheduler.placeTasks(now, now));
      orders.forEach(order -> scheduler.orderCompleted(order, answer(order), now, now));
    }
  }

  private OrderResult answer(Order order) {
    String id = order.worker().id();
    if (silent.contains(id)) {
      startsToSilentWorkers += order instanceof Order.Start ? 1 : 0;
      return new OrderResult.Unanswered("time-out");
    }
    List<WorkerReport.RunningTask> rows = running.computeIfAbsent(id, key -> new ArrayList<>());
    if (order instanceof Order.Poll poll) {
      polls.put(id, poll);
      return new OrderResult.Reported(
          new WorkerReport(
              now - STARTED_AT_MILLIS, STARTED_AT_MILLIS, List.copyOf(rows), List.of()));
    }
    if (order instanceof Order.Start start) {
      TaskId task = start.run().task().id();
      started.add(task);
      rows.add(new WorkerReport.RunningTask(task, start.run().attempt(), "", 0, 0));
    }
    return new OrderResult.Accepted(now - STARTED_AT_MILLIS);
  }

  /** A run whose start was never sent was tracked until the lease of its silent worker ended. */
  @Test
  void tasksWhoseStartWasNotSentRunElsewhereOnceTheirWorkerIsSilent() {
    List.of("w0", "w1", "w2").forEach(this::list);
    run(2_000);
    QueueRules rules = new QueueRules("queue0", "service", 0, 3, 2.0, 60_000);
    scheduler.submit(
        new JobRecord(
            "0000000000000001",
            rules,
            now,
            "payload",
            List.of(StepBuilder.longRunning(TASKS, 1_000)),
            0,
            0,
            0),
        now);
    while (started.isEmpty()) {
      run(10);
    }
    assertEquals(64, started.size());
    String worker = lastPartlyStarted();
    silent.add(worker);
    scheduler.orderCompleted(polls.get(worker), new OrderResult.Unanswered("time-out"), now, now);
    run(MAX_WAIT_MILLIS);
    assertEquals(0, startsToSilentWorkers);
    assertEquals(TASKS, started.size());
  }

  private String lastPartlyStarted() {
    return List.of("w2", "w1", "w0").stream()
        .filter(id -> running.get(id).size() < TASKS / 3)
        .findFirst()
        .orElseThrow();
  }
}
