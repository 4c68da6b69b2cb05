package org.lavenderstage.bench.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.lavenderstage.bench.policy.EventLoop;
import org.lavenderstage.core.routing.RoutingPolicy.AttemptOutcome;

/** An executor in virtual time: slots, then a queue for requests that no slot is free for. */
final class FakeExecutor {
  private final EventLoop loop;
  private final int slots;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private int busy;
  private long ninthRequests;
  private long arrivalsAfterLimit;
  private double slowFactor = 1;
  private boolean failing;
  private long limitNanos = Long.MAX_VALUE;

  FakeExecutor(EventLoop loop, int slots) {
    this.loop = loop;
    this.slots = slots;
  }

  void slowDown(double factor) {
    slowFactor = factor;
  }

  void fail() {
    failing = true;
  }

  /** Counts what arrives after a time. */
  void countAfter(long nanos) {
    limitNanos = nanos;
  }

  /** Takes a request; the answer is given when it has run, a refusal at once. */
  void accept(long sizeNanos, Consumer<AttemptOutcome> answer) {
    if (loop.nowNanos() > limitNanos) {
      arrivalsAfterLimit++;
    }
    if (failing) {
      answer.accept(AttemptOutcome.NOT_STARTED);
      return;
    }
    Runnable run = () -> run(sizeNanos, answer);
    if (busy >= slots) {
      ninthRequests++;
      queue.addLast(run);
    } else {
      run.run();
    }
  }

  private void run(long sizeNanos, Consumer<AttemptOutcome> answer) {
    busy++;
    loop.schedule(Math.round(sizeNanos * slowFactor), () -> end(answer));
  }

  private void end(Consumer<AttemptOutcome> answer) {
    busy--;
    answer.accept(AttemptOutcome.ANSWERED);
    Runnable next = queue.pollFirst();
    if (next != null) {
      next.run();
    }
  }

  boolean hasFreeSlot() {
    return busy < slots;
  }

  boolean isHealthy() {
    return !failing && slowFactor <= 1;
  }

  long ninthRequests() {
    return ninthRequests;
  }

  long arrivalsAfterLimit() {
    return arrivalsAfterLimit;
  }
}
