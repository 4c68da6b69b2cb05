package org.lavenderstage.entry.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lavenderstage.core.admission.WaitQueue;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.routing.ExecutorId;
import org.lavenderstage.core.routing.ExecutorTable;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.platform.ExecutorClient;
import org.lavenderstage.platform.ExecutorResult;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/**
 * Orders requests and sends them to executors. One thread owns the queues and the slots; all others
 * reach it through a bounded ring.
 */
public final class Dispatcher implements AutoCloseable {
  private static final int QUEUE_CAPACITY = 2048;
  private static final int SLOTS_PER_EXECUTOR = 8;
  private static final int MAX_DRAIN = 256;
  private static final long IDLE_MICROS = 200;
  private static final long RETRY_AFTER_MILLIS = 1000;
  private static final int MAX_ATTEMPTS = 3;
  private static final long REFRESH_NANOS = 100_000_000;

  private final ExecutorClient client;
  private final VmDirectory directory;
  private final BoundedRing<Event> ring;
  private final ExecutorTable executors = new ExecutorTable(SLOTS_PER_EXECUTOR);
  private final Map<String, WaitQueue<Attempt>> queues = new HashMap<>();
  private final Duty duty;
  private long refreshedNanos;
  private volatile int queued;
  private final AtomicInteger inFlight = new AtomicInteger();

  /**
   * Starts to dispatch.
   *
   * @param client sends to executors
   * @param directory names the executors
   * @param ringSize count of events that may wait, a power of two
   */
  public Dispatcher(ExecutorClient client, VmDirectory directory, int ringSize) {
    this.client = client;
    this.directory = directory;
    this.ring = new BoundedRing<>(ringSize);
    this.refreshedNanos = System.nanoTime() - REFRESH_NANOS;
    this.duty = new Duty("dispatch", this::step);
  }

  /**
   * Hands a request over. Its result completes in any case, at once where too much waits.
   *
   * @param request the request
   */
  public void submit(DispatchRequest request) {
    if (!ring.offer(new Submitted(new Attempt(request, 1)))) {
      refuse(request, ResultCode.OVERLOADED);
    }
  }

  private void step() throws InterruptedException {
    refreshExecutors();
    int taken = ring.drain(MAX_DRAIN, this::handle);
    queues.values().forEach(this::serve);
    queued = queues.values().stream().mapToInt(WaitQueue::size).sum();
    if (taken == 0) {
      TimeUnit.MICROSECONDS.sleep(IDLE_MICROS);
    }
  }

  private void refreshExecutors() {
    if (System.nanoTime() - refreshedNanos < REFRESH_NANOS) {
      return;
    }
    refreshedNanos = System.nanoTime();
    List<ExecutorId> usable =
        directory.vms(VmRole.EXECUTOR).stream()
            .filter(vm -> !vm.leaving())
            .map(Dispatcher::executorId)
            .toList();
    executors.replace(usable);
  }

  private static ExecutorId executorId(VmEntry vm) {
    return new ExecutorId(vm.id(), vm.address(), vm.domain(), vm.service());
  }

  private void handle(Event event) {
    switch (event) {
      case Submitted submitted -> enqueue(submitted.attempt());
      case Ended ended -> end(ended);
    }
  }

  private void enqueue(Attempt attempt) {
    DispatchRequest request = attempt.request();
    boolean taken =
        queues
            .computeIfAbsent(
                request.request().service(), service -> new WaitQueue<>(QUEUE_CAPACITY))
            .offer(attempt, request.rank(), request.deadlineNanos());
    if (!taken) {
      refuse(request, ResultCode.OVERLOADED);
    }
  }

  private void serve(WaitQueue<Attempt> queue) {
    Optional<Attempt> next = queue.peek();
    while (next.isPresent()) {
      DispatchRequest request = next.get().request();
      if (isTooLate(request)) {
        queue.remove();
        refuse(request, ResultCode.DEADLINE_PASSED);
      } else {
        Optional<ExecutorId> executor = executors.take(request.request().service());
        if (executor.isEmpty()) {
          return;
        }
        queue.remove();
        dispatch(next.get(), executor.get());
      }
      next = queue.peek();
    }
  }

  private static boolean isTooLate(DispatchRequest request) {
    return System.nanoTime() >= request.deadlineNanos() || !request.mayDispatch().getAsBoolean();
  }

  private void dispatch(Attempt attempt, ExecutorId executor) {
    DispatchRequest request = attempt.request();
    Duration left = Duration.ofNanos(request.deadlineNanos() - System.nanoTime());
    inFlight.incrementAndGet();
    CompletableFuture<Void> unused =
        client
            .execute(executor.address(), request.request(), left)
            .thenAccept(result -> publishEnd(new Ended(attempt, executor, result)));
  }

  /** The end of a request must not be lost, so its publisher waits for room. */
  private void publishEnd(Ended ended) {
    while (!ring.offer(ended)) {
      Thread.onSpinWait();
    }
  }

  private void end(Ended ended) {
    inFlight.decrementAndGet();
    executors.release(ended.executor());
    Attempt attempt = ended.attempt();
    DispatchRequest request = attempt.request();
    switch (ended.result()) {
      case ExecutorResult.Answered answered ->
          request.result().complete(new DispatchResult.Answered(answered));
      case ExecutorResult.NotStarted ignored -> retry(attempt, ResultCode.UPSTREAM_REFUSED);
      case ExecutorResult.Lost lost when request.idempotent() -> retryLost(attempt, lost.reason());
      case ExecutorResult.Lost lost ->
          request.result().complete(new DispatchResult.Lost(lost.reason()));
    }
  }

  private void retry(Attempt attempt, ResultCode lastCode) {
    if (attempt.number() >= MAX_ATTEMPTS) {
      refuse(attempt.request(), lastCode);
    } else {
      enqueue(new Attempt(attempt.request(), attempt.number() + 1));
    }
  }

  private void retryLost(Attempt attempt, String reason) {
    if (attempt.number() >= MAX_ATTEMPTS || isTooLate(attempt.request())) {
      attempt.request().result().complete(new DispatchResult.Lost(reason));
    } else {
      enqueue(new Attempt(attempt.request(), attempt.number() + 1));
    }
  }

  private static void refuse(DispatchRequest request, ResultCode code) {
    request.result().complete(new DispatchResult.NotRun(code, RETRY_AFTER_MILLIS));
  }

  /**
   * Counts the requests that wait for a slot.
   *
   * @return the count
   */
  public int queued() {
    return queued;
  }

  /**
   * Counts the requests that were sent and have not ended.
   *
   * @return the count
   */
  public int inFlight() {
    return inFlight.get();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** What the dispatching thread is told. */
  private sealed interface Event {}

  /** A request arrived. */
  private record Submitted(Attempt attempt) implements Event {}

  /** An executor's result arrived. */
  private record Ended(Attempt attempt, ExecutorId executor, ExecutorResult result)
      implements Event {}

  /** A request with the number of its try, from one. */
  private record Attempt(DispatchRequest request, int number) {}
}
