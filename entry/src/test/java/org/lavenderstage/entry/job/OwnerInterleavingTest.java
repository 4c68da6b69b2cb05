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
import org.lavenderstage.core.pool.WorkerListing;
import org.lavenderstage.core.pool.WorkerReport;
import org.lavenderstage.wire.peer.OwnershipQuery;

/** Interleavings of owners, workers and the store by which a task can run twice. */
class OwnerInterleavingTest {
  private static final PoolTiming TIMING = new PoolTiming(6_000, 300, 2_500);
  private static final long RETENTION_MILLIS = 120_000;
  private static final String JOB = "00000000000000aa";
  private static final long BORN = 77;
  private static final long WALL = 1_000_000;
  private static final long LONGEST_MILLIS = 4_000;

  private final List<Order> sent = new ArrayList<>();
  private JobScheduler scheduler = newOwner(1);
  private long now = 10_000;

  private static JobScheduler newOwner(long term) {
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
    return new WorkerListing(id, "service", address, "zone", "r", Set.of(), capacity, false, BORN);
  }

  private static OrderResult report(
      List<WorkerReport.RunningTask> running, List<WorkerReport.EndedTask> ended) {
    return new OrderResult.Reported(new WorkerReport(50_000, BORN, running, ended));
  }

  private List<Order> stepAfter(long millis) {
    now += millis;
    sent.clear();
    sent.addAll(scheduler.step(now, WALL));
    return List.copyOf(sent);
  }

  private List<StoredChange> store() {
    Optional<JournalBatch> batch = scheduler.drainChanges();
    batch.ifPresent(b -> scheduler.batchStored(b, now));
    return batch.map(JournalBatch::changes).orElse(List.of());
  }

  private List<Order.Poll> holds() {
    return sent.stream().filter(Order.Poll.class::isInstance).map(Order.Poll.class::cast).toList();
  }

  private List<Order.Start> starts() {
    return sent.stream()
        .filter(Order.Start.class::isInstance)
        .map(Order.Start.class::cast)
        .toList();
  }

  private void answerHolds() {
    holds()
        .forEach(hold -> scheduler.orderCompleted(hold, report(List.of(), List.of()), now, WALL));
  }

  private void ownTwoWorkers() {
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    scheduler.workerListed(listing("w2", "10.0.0.2:1"));
    stepAfter(10);
    answerHolds();
    store();
  }

  /**
   * The first copy of a start gets no answer and is carried out seconds later; its repeat is turned
   * away. The task may only start elsewhere once the first copy can have no effect any more.
   */
  private void aStartWithAnOpenCopyStaysWhereItIs(Rejection reason) {
    ownTwoWorkers();
    scheduler.submit(job(0, 0), now);
    store();
    stepAfter(60);
    Order.Start first = starts().get(0);
    answerHolds();
    scheduler.orderCompleted(first, new OrderResult.Unanswered("timeout"), now + 500, WALL);
    now += 500;
    stepAfter(260);
    Order.Start repeat = starts().get(0);
    assertEquals(first.run(), repeat.run());
    answerHolds();
    scheduler.orderCompleted(repeat, new OrderResult.Rejected(reason), now, WALL);
    stepAfter(60);
    List<String> elsewhere =
        starts().stream()
            .filter(start -> start.run() != first.run())
            .map(start -> start.run().attempt() + " on " + start.worker().id())
            .toList();
    assertEquals(
        List.of(), elsewhere, "started while attempt " + first.run().attempt() + " is open");
  }

  /** Control: without an open copy a rejected start is not held back. */
  @Test
  void aTaskIsStartedElsewhereAtOnceWhereItsOnlyStartWasRejected() {
    ownTwoWorkers();
    scheduler.submit(job(0, 0), now);
    store();
    stepAfter(60);
    Order.Start first = starts().get(0);
    answerHolds();
    scheduler.orderCompleted(first, new OrderResult.Rejected(Rejection.UNHEALTHY), now, WALL);
    stepAfter(60);
    assertEquals(1, starts().size());
    assertFalse(starts().get(0).worker().id().equals(first.worker().id()));
  }

  @Test
  void aTaskIsNotStartedElsewhereWhileAnEarlierCopyOfItsStartIsOpenAndTheWorkerIsUnhealthy() {
    aStartWithAnOpenCopyStaysWhereItIs(Rejection.UNHEALTHY);
  }

  @Test
  void aTaskIsNotStartedElsewhereWhileAnEarlierCopyOfItsStartIsOpenAndTheWorkerHasNoRoom() {
    aStartWithAnOpenCopyStaysWhereItIs(Rejection.NO_ROOM);
  }

  @Test
  void aTaskIsNotStartedElsewhereWhileAnEarlierCopyOfItsStartIsOpenAndTheOwnerIsFenced() {
    aStartWithAnOpenCopyStaysWhereItIs(Rejection.FENCED);
  }

  /** One append must not drop the record of a worker that it also holds. */
  @Test
  void aWorkerThatIsListedAgainBeforeItsRemovalIsStoredIsKnownToTheNextOwner() {
    ownTwoWorkers();
    scheduler.workerUnlisted("w1");
    stepAfter(1_100);
    for (Order.Poll hold : holds()) {
      OrderResult result =
          hold.worker().id().equals("w1")
              ? new OrderResult.Unanswered("timeout")
              : report(List.of(), List.of());
      scheduler.orderCompleted(hold, result, now, WALL);
    }
    stepAfter(10);
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    List<StoredChange> ofWorker =
        store().stream().filter(change -> change.key().equals("worker/w1")).toList();
    assertTrue(ofWorker.get(ofWorker.size() - 1).record().isPresent(), ofWorker.toString());
  }

  /**
   * A task of an occurrence that a former owner's clock had due earlier ran again when due here.
   */
  @Test
  void theEndOfAnOccurrenceThatIsNotDueHereYetIsNotLost() {
    scheduler = newOwner(2);
    List<StoredRecord> stored =
        List.of(job(1, WALL + 200), new WorkerRecord("w1", Long.toString(BORN), "10.0.0.1:1", 0));
    scheduler.load(stored, now, WALL);
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    stepAfter(10);
    TaskId task = new TaskId(JOB, 0, 0, 0);
    WorkerReport.EndedTask end = new WorkerReport.EndedTask(1, task, 1, EndKind.DONE, "");
    holds().forEach(h -> scheduler.orderCompleted(h, report(List.of(), List.of(end)), now, WALL));
    store();
    List<Order> due = scheduler.step(now + 300, WALL + 300);
    assertFalse(due.stream().anyMatch(Order.Start.class::isInstance), due.toString());
  }

  /** A worker was given up since another one listens at the address that a former owner stored. */
  @Test
  void aWorkerThatMovedIsAskedThereBeforeItsTasksStartElsewhere() {
    scheduler = newOwner(2);
    List<StoredRecord> stored =
        List.of(
            job(0, 0),
            new WorkerRecord("w1", Long.toString(BORN), "10.0.0.1:1", 0),
            new WorkerRecord("w2", Long.toString(BORN), "10.0.0.2:1", 0));
    scheduler.load(stored, now, WALL);
    stepAfter(10);
    List<Order.Poll> first = holds();
    scheduler.workerListed(listing("w1", "10.0.0.3:1"));
    scheduler.workerListed(listing("w2", "10.0.0.2:1"));
    for (Order.Poll hold : first) {
      OrderResult result =
          hold.worker().id().equals("w1")
              ? new OrderResult.Rejected(Rejection.OTHER_INCARNATION)
              : report(List.of(), List.of());
      scheduler.orderCompleted(hold, result, now, WALL);
    }
    stepAfter(60);
    assertEquals(List.of(), starts().stream().map(start -> start.worker().id()).toList());
  }

  /** Control: a worker that gives no answer holds up what a former owner may have started. */
  @Test
  void oldTasksWaitForAWorkerThatGivesNoAnswer() {
    scheduler = newOwner(2);
    List<StoredRecord> stored =
        List.of(
            job(0, 0),
            new WorkerRecord("w1", Long.toString(BORN), "10.0.0.1:1", 0),
            new WorkerRecord("w2", Long.toString(BORN), "10.0.0.2:1", 0));
    scheduler.load(stored, now, WALL);
    scheduler.workerListed(listing("w1", "10.0.0.1:1"));
    scheduler.workerListed(listing("w2", "10.0.0.2:1"));
    stepAfter(10);
    for (Order.Poll hold : holds()) {
      OrderResult result =
          hold.worker().id().equals("w1")
              ? new OrderResult.Unanswered("timeout")
              : report(List.of(), List.of());
      scheduler.orderCompleted(hold, result, now, WALL);
    }
    stepAfter(60);
    assertEquals(List.of(), starts());
  }

  private static boolean isDeposedInTime(JobOwner owner) throws InterruptedException {
    long latest = Time.steadyMillis() + LONGEST_MILLIS;
    while (!owner.isDeposed() && Time.steadyMillis() < latest) {
      Thread.sleep(10);
    }
    return owner.isDeposed();
  }

  /** A replaced owner went on where the history behind its end was gone before it looked there. */
  @Test
  void aReplacedOwnerEndsThoughTheHistoryIsForgotten() throws Exception {
    MemoryLog log = new MemoryLog();
    OwnerTerms first = TestTerms.over(log);
    OwnerTerms second = TestTerms.over(log);
    try {
      first.claim("a", "a:1", 0, former -> false, () -> true);
      JobOwner replaced = first.current().orElseThrow();
      synchronized (log) {
        second.claim("b", "b:1", 1, former -> false, () -> true);
        log.forgetHistory(LogTopic.JOBS);
      }
      assertTrue(isDeposedInTime(replaced), "still owns the jobs");
    } finally {
      first.end();
      second.end();
    }
  }

  /** Loses the answer to one append of a job, and forgets the history before the owner looks. */
  private static final class ForgetfulLog implements KeyedLog {
    private final MemoryLog log = new MemoryLog();
    private int appends;

    @Override
    public CompletableFuture<Append> append(
        LogTopic topic, OptionalLong at, List<KeyedRecord> records) {
      synchronized (log) {
        appends++;
        log.answersToLose = appends == 2 ? 1 : 0;
        CompletableFuture<Append> result = log.append(topic, at, records);
        if (appends == 2) {
          log.forgetHistory(topic);
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

  /** The journal waited for good to learn whether its append was stored. */
  @Test
  void anAppendWithoutItsAnswerIsSettledThoughTheHistoryIsForgotten() throws Exception {
    OwnerTerms terms = TestTerms.over(new ForgetfulLog());
    try {
      terms.claim("a", "a:1", 0, former -> false, () -> true);
      JobOwner owner = terms.current().orElseThrow();
      JobCall call =
          new JobCall(
              "r",
              JobVerb.SUBMIT,
              "queue",
              JOB,
              Optional.of(job(0, 0)),
              Time.steadyMillis() + LONGEST_MILLIS);
      owner.call(call).get(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
      JobAnswer again = owner.call(call).get(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(again instanceof JobAnswer.Accepted || isDeposedInTime(owner), again.toString());
    } finally {
      terms.end();
    }
  }

  /** Questions of entries that knew a later owner let the former one go on without the store. */
  @Test
  void anEntryThatKnowsALaterOwnerDoesNotFollowThisOne() {
    MemoryLog log = new MemoryLog();
    Members members = new Members(log, "a@1", "a:1");
    OwnerElection election =
        new OwnerElection(
            "a@1", "a:1", 100, members, new ConfigurationWatch(log), TestTerms.over(log));
    election.answer(new OwnershipQuery("b@1", 9, 0));
    assertFalse(election.isFollowed());
  }
}
