package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;
import org.lavenderstage.core.placement.Resources;

/** A new owner counts failures that workers report late, and does not start their tasks before. */
class InheritedFailuresTest {
  private static final String JOB = "00000000000000aa";
  private static final TaskId TASK = new TaskId(JOB, 0, 0, 0);
  private static final long TERM = 4;

  private final JobScheduler scheduler =
      new JobScheduler(
          TERM, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
  private final List<Order> pending = new ArrayList<>();
  private long now = 10_000;

  @BeforeEach
  void loadAJobAndTwoWorkersOfAPreviousOwner() {
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 1_000);
    JobRecord job =
        new JobRecord(JOB, rules, now, "x", List.of(StepBuilder.step(1, 1_000, 500)), 0, 0, 0);
    scheduler.load(List.of(job, stored("a"), stored("b")), new RenewalStops(), now, now);
    scheduler.workerListed(listing("a"));
    scheduler.workerListed(listing("b"));
    step();
  }

  private static WorkerRecord stored(String id) {
    return new WorkerRecord(id, "1", "10.0.0.1:80", 0, 0, 0, 0, null, false, null);
  }

  private static WorkerListing listing(String id) {
    return new WorkerListing(
        id, "service", "10.0.0.1:80", "d", "r", Set.of(), new Resources(8_000, 8_000, 0), false, 1);
  }

  private void step() {
    now += 20;
    pending.addAll(scheduler.step(now, now));
    pending.addAll(scheduler.placeTasks(now, now));
    scheduler.drainChanges(now, 0).ifPresent(batch -> scheduler.batchStored(batch, now));
  }

  private void report(
      String worker, List<WorkerReport.RunningTask> running, List<WorkerReport.EndedTask> ended) {
    Order poll =
        pending.stream()
            .filter(o -> o instanceof Order.Poll && o.worker().id().equals(worker))
            .findFirst()
            .orElseThrow();
    pending.remove(poll);
    scheduler.orderCompleted(
        poll, new OrderResult.Reported(new WorkerReport(now, 1, running, ended)), now, now);
    step();
    step();
  }

  private static WorkerReport.EndedTask failed(long number, long attempt) {
    return new WorkerReport.EndedTask(number, TASK, attempt, EndKind.FAILED, "");
  }

  private boolean isStartOrdered() {
    return pending.stream().anyMatch(Order.Start.class::isInstance);
  }

  @Test
  void anAdoptedTaskThatFailsWaitsForWorkersThatHaveNotReported() {
    report("b", List.of(new WorkerReport.RunningTask(TASK, 2002, "", 10, 0)), List.of());
    report("b", List.of(), List.of(failed(1, 2002)));
    assertFalse(isStartOrdered());
    report("a", List.of(), List.of(failed(1, 2001)));
    assertTrue(isStartOrdered());
  }

  @Test
  void aFailureReportedAfterALaterRunCounts() {
    report("a", List.of(), List.of());
    report("b", List.of(), List.of(failed(1, 2002)));
    assertTrue(isStartOrdered());
    report("a", List.of(), List.of(failed(1, 2001)));
    report("a", List.of(), List.of(failed(2, 1001)));
    assertEquals(JobPhase.FAILED, scheduler.find(JOB).orElseThrow().phase());
  }
}
