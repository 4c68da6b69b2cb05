package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.AbstractList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;

/** Tests an owner when the handling of a worker's answer or the client for workers fails. */
class JobOwnerTest {
  private static final String JOB = "00000000000000aa";
  private static final long TIMEOUT_MILLIS = 5_000;

  /** Longer than a round after which the ownership must be confirmed again, in milliseconds. */
  private static final long LONG_ROUND_MILLIS = 900;

  private final BlockingQueue<SentOrder> sentOrders = new LinkedBlockingQueue<>();
  private final InMemoryKeyedLog log = new InMemoryKeyedLog();
  private Optional<OwnershipManager> ownership = Optional.empty();

  /** A sent order and its answer, which the test completes. */
  private record SentOrder(Order order, CompletableFuture<OrderResult> answer) {}

  private CompletableFuture<OrderResult> recordOrder(Order order) {
    SentOrder recorded = new SentOrder(order, new CompletableFuture<>());
    sentOrders.add(recorded);
    return recorded.answer();
  }

  private SentOrder takeSentOrder() throws InterruptedException {
    SentOrder next = sentOrders.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertNotNull(next, "no order was sent within the time-out");
    return next;
  }

  private static KeyedRecord worker(String id) {
    String listing =
        "{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
            + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"labels\":[\"k\",\"r\"],\"born\":7}";
    return new KeyedRecord(id, Optional.of(listing.getBytes(StandardCharsets.UTF_8)));
  }

  private JobOwner startOwner(WorkerOrders orders, String... workers) throws InterruptedException {
    for (String worker : workers) {
      log.append(LogTopic.WORKERS, OptionalLong.empty(), List.of(worker(worker))).join();
    }
    OwnershipManager manager = TestOwnership.managerOf(log, orders);
    ownership = Optional.of(manager);
    manager.claim("a", "a:1", 0, incarnation -> false, () -> true);
    return manager.current().orElseThrow();
  }

  @AfterEach
  void endOwnership() {
    ownership.ifPresent(OwnershipManager::end);
  }

  private static JobCall submission() {
    return submission(TIMEOUT_MILLIS);
  }

  static JobCall submission(long answerWithinMillis) {
    StepSpec step =
        new StepSpec(
            1, 1_000, 100, 0, 5_000, List.of(), false, false, false, "", "", 0, false, false, "", 0,
            false, 0);
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
    JobRecord job = new JobRecord(JOB, rules, 1, "payload", List.of(step), 0, 0, 60_000);
    return new JobCall(
        "r",
        JobVerb.SUBMIT,
        "queue",
        JOB,
        Optional.of(job),
        Clocks.monotonicMillis() + answerWithinMillis);
  }

  private static JobCall query(JobVerb verb) {
    return new JobCall(
        "r", verb, "queue", JOB, Optional.empty(), Clocks.monotonicMillis() + TIMEOUT_MILLIS);
  }

  /** Starts an owner whose thread blocks in its first order, and waits until it does. */
  private JobOwner startBlockedOwner(CountDownLatch release) throws InterruptedException {
    JobOwner owner =
        startOwner(
            order -> {
              CompletableFuture<OrderResult> answer = recordOrder(order);
              awaitRelease(release);
              return answer;
            },
            "w1");
    takeSentOrder();
    return owner;
  }

  /** Creates an event that lists a worker, and blocks the owner's thread until the release. */
  private static OwnerEvent blockingEvent(String worker, CountDownLatch release) {
    List<KeyedRecord> records =
        new AbstractList<>() {
          @Override
          public KeyedRecord get(int index) {
            awaitRelease(release);
            return worker(worker);
          }

          @Override
          public int size() {
            return 1;
          }
        };
    return new OwnerEvent.ListingsRead(new TopicReader.Poll.Changes(records));
  }

  private static void awaitRelease(CountDownLatch release) {
    try {
      assertTrue(release.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against an owner that stops for good after an event that it failed to handle. */
  @Test
  void ownerAnswersCallersAfterFailedEvent() throws Exception {
    JobOwner owner = startOwner(order -> recordOrder(order), "w1");
    takeSentOrder().answer().complete(new OrderResult.Accepted(1));
    CompletableFuture<JobAnswer> answer = owner.call(submission());
    assertEquals(new JobAnswer.Accepted(), answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
  }

  /** Guards against a worker that receives no more orders because the future of one failed. */
  @Test
  void workerReceivesOrderAfterFailedFuture() throws Exception {
    startOwner(order -> recordOrder(order), "w1");
    takeSentOrder().answer().completeExceptionally(new IllegalStateException("undecodable"));
    assertEquals("w1", takeSentOrder().order().worker().id());
  }

  /** Guards against losing the later orders of a step when sending one of them throws. */
  @Test
  void otherWorkersReceiveOrdersAfterFailedSend() throws Exception {
    startOwner(
        order -> {
          if (order.worker().id().equals("w1")) {
            throw new IllegalStateException("unsendable");
          }
          return recordOrder(order);
        },
        "w1",
        "w2");
    assertEquals("w2", takeSentOrder().order().worker().id());
  }

  /** Guards against callers that learn nothing in time, and jobs that are submitted after it. */
  @Test
  void submissionThatBusyOwnerCannotHandleInTimeIsRejectedAndHasNoEffect() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    JobOwner owner = startBlockedOwner(release);
    try {
      CompletableFuture<JobAnswer> answer = owner.call(submission(300));
      JobAnswer rejected = answer.get(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS);
      assertInstanceOf(JobAnswer.Rejected.class, rejected);
    } finally {
      release.countDown();
    }
    JobAnswer waiting =
        owner.call(query(JobVerb.WAITING)).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertEquals(new JobAnswer.Waiting(0), waiting);
  }

  /** Guards against callers that wait behind the results of hundreds of orders. */
  @Test
  void callsAreHandledBeforeOtherEvents() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch releaseEvent = new CountDownLatch(1);
    JobOwner owner = startBlockedOwner(release);
    owner.post(blockingEvent("w2", releaseEvent));
    CompletableFuture<JobAnswer> answer = owner.call(query(JobVerb.WAITING));
    release.countDown();
    try {
      JobAnswer waiting = answer.get(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS);
      assertEquals(new JobAnswer.Waiting(0), waiting);
    } finally {
      releaseEvent.countDown();
    }
  }

  /** Guards against a pause of all orders that lasts until a pending append is answered. */
  @Test
  void ordersResumeAfterLongRoundWhileAppendIsPending() throws Exception {
    JobOwner owner = startOwner(order -> recordOrder(order), "w1");
    takeSentOrder();
    log.delayAppendAnswers = true;
    CompletableFuture<JobAnswer> answer = owner.call(submission());
    Thread.sleep(200);
    assertFalse(answer.isDone());
    CountDownLatch release = new CountDownLatch(1);
    owner.post(blockingEvent("w2", release));
    Thread.sleep(LONG_ROUND_MILLIS);
    release.countDown();
    assertEquals("w2", takeSentOrder().order().worker().id());
  }

  /** Guards against submissions that wait until all due orders are sent before they are stored. */
  @Test
  void submissionIsStoredWhileOrdersAreSent() throws Exception {
    CountDownLatch releaseFirst = new CountDownLatch(1);
    CountDownLatch releaseSecond = new CountDownLatch(1);
    JobOwner owner =
        startOwner(
            order -> {
              CompletableFuture<OrderResult> answer = recordOrder(order);
              awaitRelease(order.worker().id().equals("w1") ? releaseFirst : releaseSecond);
              return answer;
            },
            "w1");
    takeSentOrder();
    CompletableFuture<JobAnswer> answer = owner.call(submission());
    owner.post(new OwnerEvent.ListingsRead(new TopicReader.Poll.Changes(List.of(worker("w2")))));
    releaseFirst.countDown();
    assertEquals("w2", takeSentOrder().order().worker().id());
    boolean stored =
        log.read(LogTopic.JOBS, 0, 0).join() instanceof KeyedLog.Read.Records jobs
            && jobs.records().stream().anyMatch(record -> record.key().contains(JOB));
    releaseSecond.countDown();
    assertTrue(stored);
    assertEquals(new JobAnswer.Accepted(), answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
  }

  private static JobCall inOtherQueue(JobCall call) {
    return new JobCall(
        call.request(),
        call.verb(),
        "other",
        call.job(),
        call.submission(),
        Clocks.monotonicMillis() + TIMEOUT_MILLIS);
  }

  private static JobAnswer answerOf(JobOwner owner, JobCall call) throws Exception {
    return owner.call(call).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Guards against callers of one queue that see or cancel a job of another one. */
  @Test
  void jobIsUnknownInOtherQueues() throws Exception {
    JobOwner owner = startOwner(order -> recordOrder(order), "w1");
    assertEquals(new JobAnswer.Accepted(), answerOf(owner, submission()));
    for (JobVerb verb : List.of(JobVerb.STATE, JobVerb.CANCEL)) {
      assertEquals(new JobAnswer.UnknownJob(), answerOf(owner, inOtherQueue(query(verb))));
    }
    assertInstanceOf(JobAnswer.Malformed.class, answerOf(owner, inOtherQueue(submission())));
    assertInstanceOf(JobAnswer.State.class, answerOf(owner, query(JobVerb.STATE)));
  }
}
