package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.pool.EndKind;
import org.lavenderstage.core.pool.JobScheduler;
import org.lavenderstage.core.pool.JournalBatch;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.PoolTiming;
import org.lavenderstage.core.pool.Rejection;
import org.lavenderstage.core.pool.RenewalStops;
import org.lavenderstage.core.pool.WorkerListing;
import org.lavenderstage.core.pool.WorkerReport;
import org.lavenderstage.wire.peer.OwnershipQuery;

/** Tests interleavings of owners, workers and the store that could make a task run twice. */
class OwnerInterleavingTest {
  private static final PoolTiming TIMING = new PoolTiming(6_000, 6_000, 300, 2_500);
  private static final long RETENTION_MILLIS = 120_000;
  private static final String JOB = "00000000000000aa";
  private static final long WORKER_STARTED_AT_MILLIS = 77;
  private static final long WALL_MILLIS = 1_000_000;
  private static final long TIMEOUT_MILLIS = 4_000;

  private final List<Order> sentOrders = new ArrayList<>();
  private JobScheduler scheduler = newScheduler(1);
  private long nowMillis = 10_000;

  private static JobScheduler newScheduler(long term) {
    return new JobScheduler(term, TIMING, RETENTION_MILLIS, (decision, values) -> {});
  }

  private static StepSpec step() {
    return new StepSpec(
        1, 1_000, 100, 0, 5_000, List.of(), false, false, false, "", "", 0, false, false, "", 0,
        false, 0);
  }

  private static JobRecord job(int repeatCount, long startAtMillis) {
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
    return new JobRecord(
        JOB, rules, 1, "payload", List.of(step()), repeatCount, startAtMillis, 60_000);
  }

  private static WorkerListing listing(String id, String address) {
    Resources capacity = new Resources(32_000, 128_000, 0);
    return new WorkerListing(
        id, "service", address, "zone", "r", Set.of(), capacity, false, WORKER_STARTED_AT_MILLIS);
  }

  private static OrderResult report(
      List<WorkerReport.RunningTask> running, List<WorkerReport.EndedTask> ended) {
    return new OrderResult.Reported(
        new WorkerReport(50_000, WORKER_STARTED_AT_MILLIS, running, ended));
  }

  private List<Order> stepAfter(long millis) {
    nowMillis += millis;
    sentOrders.clear();
    sentOrders.addAll(scheduler.step(nowMillis, WALL_MILLIS));
    sentOrders.addAll(scheduler.placeTasks(nowMillis, WALL_MILLIS));
    return List.copyOf(sentOrders);
  }

  private List<StoredChange> storeChanges() {
    Optional<JournalBatch> batch = scheduler.drainChanges(nowMillis, 0);
    batch.ifPresent(b -> scheduler.batchStored(b, nowMillis));
    return batch.map(JournalBatch::changes).orElse(List.of());
  }

  private List<Order.Poll> sentPolls() {
    return sentOrders.stream()
        .filter(Order.Poll.class::isInstance)
        .map(Order.Poll.class::cast)
        .toList();
  }

  private List<Order.Start> sentStarts() {
    return sentOrders.stream()
        .filter(Order.Start.class::isInstance)
        .map(Order.Start.class::cast)
        .toList();
  }

  private void answerPolls() {
    sentPolls()
        .forEach(
            poll ->
                scheduler.orderCompleted(
                    poll, report(List.of(), List.of()), nowMillis, WALL_MILLIS));
  }

  private void addTwoWorkers() {
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    scheduler.workerListed(listing("w2", "10.0.0.2:1"));
    stepAfter(10);
    answerPolls();
    storeChanges();
  }

  /**
   * Checks that a task does not start elsewhere while an earlier copy of its start order may still
   * be carried out. The first copy is not answered and may take effect seconds later; the second
   * copy is rejected.
   */
  private void assertNoOtherStartWhileCopyIsUnanswered(Rejection reason) {
    addTwoWorkers();
    scheduler.submit(job(0, 0), nowMillis);
    storeChanges();
    stepAfter(60);
    Order.Start first = sentStarts().get(0);
    answerPolls();
    scheduler.orderCompleted(
        first, new OrderResult.Unanswered("timeout"), nowMillis + 500, WALL_MILLIS);
    nowMillis += 500;
    stepAfter(260);
    Order.Start repeat = sentStarts().get(0);
    assertEquals(first.run(), repeat.run());
    answerPolls();
    scheduler.orderCompleted(repeat, new OrderResult.Rejected(reason), nowMillis, WALL_MILLIS);
    stepAfter(60);
    List<String> elsewhere =
        sentStarts().stream()
            .filter(start -> start.run() != first.run())
            .map(start -> start.run().attempt() + " on " + start.worker().id())
            .toList();
    assertEquals(
        List.of(),
        elsewhere,
        "started while the start of attempt " + first.run().attempt() + " is unanswered");
  }

  /** Counterpart: without an unanswered copy, a rejected start does not block another one. */
  @Test
  void taskStartsElsewhereAfterOnlyStartWasRejected() {
    addTwoWorkers();
    scheduler.submit(job(0, 0), nowMillis);
    storeChanges();
    stepAfter(60);
    Order.Start first = sentStarts().get(0);
    answerPolls();
    scheduler.orderCompleted(
        first, new OrderResult.Rejected(Rejection.UNHEALTHY), nowMillis, WALL_MILLIS);
    stepAfter(60);
    assertEquals(1, sentStarts().size());
    assertFalse(sentStarts().get(0).worker().id().equals(first.worker().id()));
  }

  @Test
  void unansweredStartBlocksOtherStartAfterUnhealthy() {
    assertNoOtherStartWhileCopyIsUnanswered(Rejection.UNHEALTHY);
  }

  @Test
  void unansweredStartBlocksOtherStartAfterNoRoom() {
    assertNoOtherStartWhileCopyIsUnanswered(Rejection.NO_ROOM);
  }

  @Test
  void unansweredStartBlocksOtherStartAfterFenced() {
    assertNoOtherStartWhileCopyIsUnanswered(Rejection.FENCED);
  }

  /** One append must not delete the record of a worker that it also stores. */
  @Test
  void workerListedAgainBeforeRemovalIsStoredStaysStored() {
    addTwoWorkers();
    scheduler.workerUnlisted("w1");
    stepAfter(1_100);
    for (Order.Poll poll : sentPolls()) {
      OrderResult result =
          poll.worker().id().equals("w1")
              ? new OrderResult.Unanswered("timeout")
              : report(List.of(), List.of());
      scheduler.orderCompleted(poll, result, nowMillis, WALL_MILLIS);
    }
    stepAfter(10);
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    List<StoredChange> ofWorker =
        storeChanges().stream().filter(change -> change.key().equals("worker/w1")).toList();
    assertTrue(ofWorker.get(ofWorker.size() - 1).record().isPresent(), ofWorker.toString());
  }

  /**
   * A task ran again when its occurrence fell due by the clock of this owner, after it had been due
   * and done by the clock of a previous owner.
   */
  @Test
  void endOfOccurrenceNotDueYetIsNotLost() {
    scheduler = newScheduler(2);
    List<StoredRecord> stored =
        List.of(job(1, WALL_MILLIS + 200), workerRecord("w1", "10.0.0.1:1"));
    scheduler.load(stored, new RenewalStops(), nowMillis, WALL_MILLIS);
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    stepAfter(10);
    TaskId task = new TaskId(JOB, 0, 0, 0);
    WorkerReport.EndedTask end = new WorkerReport.EndedTask(1, task, 1, EndKind.DONE, "");
    sentPolls()
        .forEach(
            sentPoll ->
                scheduler.orderCompleted(
                    sentPoll, report(List.of(), List.of(end)), nowMillis, WALL_MILLIS));
    storeChanges();
    List<Order> due = new ArrayList<>(scheduler.step(nowMillis + 300, WALL_MILLIS + 300));
    due.addAll(scheduler.placeTasks(nowMillis + 300, WALL_MILLIS + 300));
    assertFalse(due.stream().anyMatch(Order.Start.class::isInstance), due.toString());
  }

  private static WorkerRecord workerRecord(String worker, String address) {
    return new WorkerRecord(
        worker, Long.toString(WORKER_STARTED_AT_MILLIS), address, 0, 0, 0, 0, null, false, null);
  }

  /**
   * A worker was considered lost because another one listens at the address that a previous owner
   * had stored.
   */
  @Test
  void workerAtNewAddressIsPolledBeforeTasksStartElsewhere() {
    scheduler = newScheduler(2);
    List<StoredRecord> stored =
        List.of(job(0, 0), workerRecord("w1", "10.0.0.1:1"), workerRecord("w2", "10.0.0.2:1"));
    scheduler.load(stored, new RenewalStops(), nowMillis, WALL_MILLIS);
    stepAfter(10);
    List<Order.Poll> first = sentPolls();
    scheduler.workerListed(listing("w1", "10.0.0.3:1"));
    scheduler.workerListed(listing("w2", "10.0.0.2:1"));
    for (Order.Poll poll : first) {
      OrderResult result =
          poll.worker().id().equals("w1")
              ? new OrderResult.Rejected(Rejection.OTHER_INCARNATION)
              : report(List.of(), List.of());
      scheduler.orderCompleted(poll, result, nowMillis, WALL_MILLIS);
    }
    stepAfter(60);
    assertEquals(List.of(), sentStarts().stream().map(start -> start.worker().id()).toList());
  }

  /** Counterpart: an unresponsive worker blocks tasks that a previous owner may have started. */
  @Test
  void inheritedTasksWaitForUnresponsiveWorker() {
    scheduler = newScheduler(2);
    List<StoredRecord> stored =
        List.of(job(0, 0), workerRecord("w1", "10.0.0.1:1"), workerRecord("w2", "10.0.0.2:1"));
    scheduler.load(stored, new RenewalStops(), nowMillis, WALL_MILLIS);
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    scheduler.workerListed(listing("w2", "10.0.0.2:1"));
    stepAfter(10);
    for (Order.Poll poll : sentPolls()) {
      OrderResult result =
          poll.worker().id().equals("w1")
              ? new OrderResult.Unanswered("timeout")
              : report(List.of(), List.of());
      scheduler.orderCompleted(poll, result, nowMillis, WALL_MILLIS);
    }
    stepAfter(60);
    assertEquals(List.of(), sentStarts());
  }

  private static boolean isDeposedInTime(JobOwner owner) throws InterruptedException {
    long deadlineMillis = Clocks.monotonicMillis() + TIMEOUT_MILLIS;
    while (!owner.isDeposed() && Clocks.monotonicMillis() < deadlineMillis) {
      Thread.sleep(10);
    }
    return owner.isDeposed();
  }

  /** A replaced owner continued if the records after its end were compacted before it read them. */
  @Test
  void replacedOwnerEndsAfterCompaction() throws Exception {
    InMemoryKeyedLog log = new InMemoryKeyedLog();
    OwnershipManager first = TestOwnership.managerOf(log);
    OwnershipManager second = TestOwnership.managerOf(log);
    try {
      first.claim("a", "a:1", 0, incarnation -> false, () -> true);
      JobOwner replaced = first.current().orElseThrow();
      synchronized (log) {
        second.claim("b", "b:1", 1, incarnation -> false, () -> true);
        log.compact(LogTopic.JOBS);
      }
      assertTrue(isDeposedInTime(replaced), "still owns the jobs");
    } finally {
      first.end();
      second.end();
    }
  }

  /** Loses the answer to the second append, and compacts the log before the owner reads it. */
  private static final class CompactingLog implements KeyedLog {
    private final InMemoryKeyedLog log = new InMemoryKeyedLog();
    private int appends;

    @Override
    public CompletableFuture<Append> append(
        LogTopic topic, OptionalLong at, List<KeyedRecord> records) {
      synchronized (log) {
        appends++;
        log.appendAnswersToLose = appends == 2 ? 1 : 0;
        CompletableFuture<Append> result = log.append(topic, at, records);
        if (appends == 2) {
          log.compact(topic);
        }
        return result;
      }
    }

    @Override
    public CompletableFuture<Read> read(LogTopic topic, long from, int waitMillis) {
      return log.read(topic, from, waitMillis);
    }

    @Override
    public CompletableFuture<Newest> newest(LogTopic topic, Optional<String> after) {
      return log.newest(topic, after);
    }
  }

  /** The journal never found out whether its append was stored. */
  @Test
  void unansweredAppendIsResolvedAfterCompaction() throws Exception {
    OwnershipManager ownership = TestOwnership.managerOf(new CompactingLog());
    try {
      ownership.claim("a", "a:1", 0, incarnation -> false, () -> true);
      JobOwner owner = ownership.current().orElseThrow();
      JobCall call =
          new JobCall(
              "r",
              JobVerb.SUBMIT,
              "queue",
              JOB,
              Optional.of(job(0, 0)),
              Clocks.monotonicMillis() + TIMEOUT_MILLIS);
      owner.call(call).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      JobAnswer again = owner.call(call).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(again instanceof JobAnswer.Accepted || isDeposedInTime(owner), again.toString());
    } finally {
      ownership.end();
    }
  }

  /**
   * Queries of entries that knew a later owner let the previous owner continue without the store.
   */
  @Test
  void entryWithLaterOwnerDoesNotFollowThisOne() {
    InMemoryKeyedLog log = new InMemoryKeyedLog();
    Members members = new Members(log, "a@1", "a:1", 300);
    OwnerElection election =
        new OwnerElection(
            "a@1",
            "a:1",
            100,
            members,
            new StoreMonitor(log, Clocks::monotonicMillis),
            TestOwnership.managerOf(log));
    election.handleQuery(new OwnershipQuery("b@1", 9, 0));
    assertFalse(election.isFollowed());
  }
}
