package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.WorkerReport;

/** Verifies that an owner grants no leases after its claim was confirmed too long ago. */
class OutdatedConfirmationTest {
  /** Longer than a confirmation is valid, and than a later owner allows for, in milliseconds. */
  private static final long LONG_SEND_MILLIS = 3_000;

  /** Clock of the worker when it reports, just after the ownership was confirmed. */
  private static final long WORKER_CLOCK_MILLIS = 1_000;

  /** What a later owner allows for: 2,500 ms until the last lease is granted, and the lease. */
  private static final long MAX_LEASE_UNTIL_MILLIS = WORKER_CLOCK_MILLIS + 2_500 + 6_000;

  private static final String LISTING =
      "{\"service\":\"service\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
          + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"labels\":[\"k\",\"r\"],\"born\":7}";

  private final InMemoryKeyedLog log = new InMemoryKeyedLog();
  private final AtomicInteger polls = new AtomicInteger();
  private final AtomicLong longestLeaseMillis = new AtomicLong();
  private final CountDownLatch blocked = new CountDownLatch(1);

  private CompletableFuture<OrderResult> send(Order order) {
    if (order instanceof Order.Start start) {
      longestLeaseMillis.accumulateAndGet(start.leaseUntilMillis(), Math::max);
    }
    if (!(order instanceof Order.Poll)) {
      return new CompletableFuture<>();
    }
    if (polls.incrementAndGet() == 1) {
      return CompletableFuture.completedFuture(
          new OrderResult.Reported(new WorkerReport(WORKER_CLOCK_MILLIS, 7, List.of(), List.of())));
    }
    log.down = true;
    blocked.countDown();
    try {
      Thread.sleep(LONG_SEND_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return new CompletableFuture<>();
  }

  /** Starts were given new leases after the orders before them had taken long to send. */
  @Test
  void noLeaseIsGrantedAfterSendingOrdersTookLongerThanTheConfirmationIsValid() throws Exception {
    WorkerOrders orders = order -> send(order);
    OwnershipManager manager = TestOwnership.managerOf(log, orders);
    try {
      manager.claim("a", "a:1", 0, incarnation -> false, () -> false);
      JobOwner owner = manager.current().orElseThrow();
      StepSpec step =
          new StepSpec(
              1, 1_000, 100, 0, 5_000, List.of(), false, false, false, "", "", 0, false, false, "",
              0, false, 0);
      QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 100);
      JobRecord job =
          new JobRecord("00000000000000aa", rules, 1, "payload", List.of(step), 0, 0, 60_000);
      JobCall call =
          new JobCall(
              "r",
              JobVerb.SUBMIT,
              "queue",
              job.job(),
              Optional.of(job),
              Clocks.monotonicMillis() + 5_000);
      assertEquals(new JobAnswer.Accepted(), owner.call(call).get(5, TimeUnit.SECONDS));
      KeyedRecord listing =
          new KeyedRecord("w1", Optional.of(LISTING.getBytes(StandardCharsets.UTF_8)));
      owner.post(new OwnerEvent.ListingsRead(new TopicReader.Poll.Changes(List.of(listing))));
      assertTrue(blocked.await(5, TimeUnit.SECONDS));
      Thread.sleep(LONG_SEND_MILLIS + 500);
      long lease = longestLeaseMillis.get();
      assertTrue(lease <= MAX_LEASE_UNTIL_MILLIS, "lease until " + lease);
    } finally {
      manager.end();
    }
  }
}
