package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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

/** What an owner does where a worker's answer or the client of the workers fails it. */
class JobOwnerTest {
  private static final String JOB = "00000000000000aa";
  private static final long LONGEST_MILLIS = 5_000;

  private final BlockingQueue<Sent> sent = new LinkedBlockingQueue<>();
  private Optional<OwnerTerms> terms = Optional.empty();

  /** An order, and the answer that the test is to give. */
  private record Sent(Order order, CompletableFuture<OrderResult> answer) {}

  private CompletableFuture<OrderResult> keep(Order order) {
    Sent kept = new Sent(order, new CompletableFuture<>());
    sent.add(kept);
    return kept.answer();
  }

  private Sent nextSent() throws InterruptedException {
    Sent next = sent.poll(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
    assertNotNull(next, "no order came");
    return next;
  }

  private static KeyedRecord worker(String id) {
    String listing =
        "{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
            + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"labels\":[\"k\",\"r\"],\"born\":7}";
    return new KeyedRecord(id, Optional.of(listing.getBytes(StandardCharsets.UTF_8)));
  }

  private JobOwner own(WorkerOrders orders, String... workers) throws InterruptedException {
    MemoryLog log = new MemoryLog();
    for (String worker : workers) {
      log.append(LogTopic.WORKERS, OptionalLong.empty(), List.of(worker(worker))).join();
    }
    OwnerTerms made = TestTerms.over(log, orders);
    terms = Optional.of(made);
    made.claim("a", "a:1", 0, former -> false, () -> true);
    return made.current().orElseThrow();
  }

  @AfterEach
  void endTerms() {
    terms.ifPresent(OwnerTerms::end);
  }

  private static JobCall submission() {
    StepSpec step =
        new StepSpec(
            1, 1_000, 100, 0, 5_000, List.of(), false, false, false, "", "", 0, false, false, "", 0,
            false, 0);
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
    JobRecord job = new JobRecord(JOB, rules, 1, "payload", List.of(step), 0, 0, 60_000);
    return new JobCall(
        "r", JobVerb.SUBMIT, "queue", JOB, Optional.of(job), Time.steadyMillis() + LONGEST_MILLIS);
  }

  /** Guards against an owner that stands still for good after one event that it cannot take. */
  @Test
  void anOwnerAnswersCallersAfterAnEventThatFailed() throws Exception {
    JobOwner owner = own((order, term) -> keep(order), "w1");
    nextSent().answer().complete(new OrderResult.Accepted(1));
    CompletableFuture<JobAnswer> answer = owner.call(submission());
    assertEquals(new JobAnswer.Accepted(), answer.get(LONGEST_MILLIS, TimeUnit.MILLISECONDS));
  }

  /** Guards against a worker that is never asked again since its order's future failed. */
  @Test
  void aWorkerIsAskedAgainAfterAnOrderWhoseFutureFailed() throws Exception {
    own((order, term) -> keep(order), "w1");
    nextSent().answer().completeExceptionally(new IllegalStateException("undecodable"));
    assertEquals("w1", nextSent().order().worker().id());
  }

  /** Guards against the loss of a step's later orders where sending one of them fails at once. */
  @Test
  void theOtherWorkersAreAskedWhereAnOrderCannotBeSent() throws Exception {
    own(
        (order, term) -> {
          if (order.worker().id().equals("w1")) {
            throw new IllegalStateException("unsendable");
          }
          return keep(order);
        },
        "w1",
        "w2");
    assertEquals("w2", nextSent().order().worker().id());
  }
}
