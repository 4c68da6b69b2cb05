package org.lavenderstage.entry.job;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.pool.JobScheduler;
import org.lavenderstage.core.pool.JournalBatch;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.PoolTiming;
import org.lavenderstage.core.pool.WorkerListing;
import org.lavenderstage.http.Http1Handler;
import org.lavenderstage.http.Http1Response;
import org.lavenderstage.http.Http1Server;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;

/**
 * Runs the code of an owner with simulated workers, so that it is loaded and compiled before this
 * entry claims the jobs. Otherwise a new owner interprets most of its code for the first seconds,
 * while all callers and workers wait for it. Orders are sent to a server of this process, which
 * does not interpret them; nothing is stored or logged.
 */
final class OwnerWarmup {
  private static final String LOOPBACK = "127.0.0.1";
  private static final String SERVICE = "warmup";

  private static final int MAX_BODY_BYTES = 65_536;
  private static final long IDLE_TIMEOUT_MILLIS = 15_000;

  /** Response to all orders. */
  private static final CompletableFuture<Http1Handler.Reply> RESPONSE =
      CompletableFuture.completedFuture(
          new Http1Handler.Reply(Http1Response.of(200, Http1Response.JSON, "{}"), false));

  /** Number of rounds; enough for jobs of each kind to be completed. */
  private static final int ROUNDS = 120;

  /** Number of orders that are sent; enough for their methods to be compiled. */
  private static final int MAX_SENT_ORDERS = 250;

  private static final int WORKERS = 6;
  private static final int WORKER_CPU_MILLIS = 32_000;
  private static final int WORKER_MEMORY_MB = 64_000;
  private static final int ROUNDS_PER_JOB = 3;
  private static final int JOB_KINDS = 3;
  private static final int TASKS_PER_STEP = 4;
  private static final int TASK_CPU_MILLIS = 2_000;
  private static final int TASK_MEMORY_MB = 500;
  private static final long TASK_MILLIS = 200;
  private static final int TAIL_TARGET_MILLIS = 100;

  /** Simulated time between two rounds, in milliseconds. */
  private static final long ROUND_MILLIS = 50;

  /** Pause after a round in durations of a round, while no callers come. */
  private static final int IDLE_PAUSE_FACTOR = 1;

  /** Pause after a round in durations of a round, while callers need the processor. */
  private static final int BUSY_PAUSE_FACTOR = 4;

  private static final PoolTiming TIMING = new PoolTiming(60_000, 60_000, 0, 0);
  private static final long RETENTION_MILLIS = 1_000;

  private final WorkerOrders orders;
  private final EventLoopGroup eventLoops;
  private final BooleanSupplier mayContinue;
  private final LongSupplier requestCount;
  private final List<WarmupWorker> workers = new ArrayList<>();
  private final JobScheduler scheduler =
      new JobScheduler(1, TIMING, RETENTION_MILLIS, (decision, namesAndValues) -> {});
  private long nowMillis = TIMING.leaseMillis();
  private int sentOrders;
  private int submitted;
  private int completed;

  /**
   * Creates a warm-up.
   *
   * @param orders client for workers
   * @param eventLoops event loops of the server that receives the orders
   * @param mayContinue returns whether the next round may run
   * @param requestCount returns the number of callers' requests so far
   */
  OwnerWarmup(
      WorkerOrders orders,
      EventLoopGroup eventLoops,
      BooleanSupplier mayContinue,
      LongSupplier requestCount) {
    this.orders = orders;
    this.eventLoops = eventLoops;
    this.mayContinue = mayContinue;
    this.requestCount = requestCount;
  }

  /**
   * Runs the rounds.
   *
   * @return the number of simulated jobs that were completed
   * @throws InterruptedException if the thread is interrupted during a pause
   */
  int run() throws InterruptedException {
    try (Http1Server server = new Http1Server(eventLoops, MAX_BODY_BYTES, IDLE_TIMEOUT_MILLIS)) {
      int port = server.listen(LOOPBACK, 0, request -> RESPONSE);
      for (int i = 0; i < WORKERS; i++) {
        workers.add(new WarmupWorker("warmup-" + i));
        scheduler.workerListed(listing(workers.get(i).id(), port));
      }
      for (int round = 0; round < ROUNDS && mayContinue.getAsBoolean(); round++) {
        long requestsBefore = requestCount.getAsLong();
        long startNanos = System.nanoTime();
        step(round);
        long roundNanos = System.nanoTime() - startNanos;
        boolean busy = requestCount.getAsLong() > requestsBefore;
        Thread.sleep((busy ? BUSY_PAUSE_FACTOR : IDLE_PAUSE_FACTOR) * roundNanos / 1_000_000);
      }
    }
    return completed;
  }

  private static WorkerListing listing(String id, int port) {
    return new WorkerListing(
        id,
        SERVICE,
        LOOPBACK + ":" + port,
        SERVICE,
        "rack-" + id,
        Set.of(),
        new Resources(WORKER_CPU_MILLIS, WORKER_MEMORY_MB, 0),
        false,
        1);
  }

  private void step(int round) {
    nowMillis += ROUND_MILLIS;
    if (round % ROUNDS_PER_JOB == 0) {
      scheduler.submit(nextJob(), nowMillis);
    }
    List<CompletableFuture<OrderResult>> sent = new ArrayList<>();
    List<Order> due = new ArrayList<>(scheduler.step(nowMillis, nowMillis));
    due.addAll(scheduler.placeTasks(nowMillis, nowMillis));
    for (Order order : due) {
      if (sentOrders++ < MAX_SENT_ORDERS) {
        sent.add(orders.send(order));
      }
      WarmupWorker worker =
          workers.stream()
              .filter(w -> w.id().equals(order.worker().id()))
              .findFirst()
              .orElseThrow();
      scheduler.orderCompleted(order, worker.execute(order, nowMillis), nowMillis, nowMillis);
    }
    sent.forEach(CompletableFuture::join);
    scheduler.drainChanges(nowMillis, 0).ifPresent(this::store);
  }

  private void store(JournalBatch batch) {
    for (StoredChange change : batch.changes()) {
      change.record().map(StoredCodec::encode).ifPresent(OwnerWarmup::decode);
    }
    scheduler.batchStored(batch, nowMillis);
    completed += (int) batch.phases().values().stream().filter(JobPhase.COMPLETED::equals).count();
  }

  private static void decode(byte[] record) {
    try {
      StoredCodec.decode(record);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("a record cannot be decoded after it was encoded", e);
    }
  }

  /** Returns the next of three kinds of jobs: urgent, long-running and best-effort ones. */
  private JobRecord nextJob() {
    int kind = submitted % JOB_KINDS;
    boolean longRunning = kind == 1 && submitted < 2 * WORKERS;
    StepSpec first = step(List.of(), longRunning, kind == 2);
    List<StepSpec> steps =
        longRunning ? List.of(first) : List.of(first, step(List.of(0), false, kind == 2));
    QueueRules rules = new QueueRules(SERVICE + kind, SERVICE, kind, 3, 2.0, 1_000);
    return new JobRecord(
        String.format("%016x", ++submitted), rules, nowMillis, SERVICE, steps, 0, 0, 0);
  }

  private static StepSpec step(List<Integer> dependsOn, boolean longRunning, boolean bestEffort) {
    return new StepSpec(
        TASKS_PER_STEP,
        TASK_CPU_MILLIS,
        TASK_MEMORY_MB,
        0,
        TASK_MILLIS,
        dependsOn,
        bestEffort,
        false,
        false,
        "",
        "",
        0,
        false,
        longRunning,
        longRunning || bestEffort ? SERVICE : "",
        longRunning ? TAIL_TARGET_MILLIS : 0,
        bestEffort,
        0);
  }
}
