package org.lavenderstage.bench.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.lavenderstage.bench.policy.EventLoop;
import org.lavenderstage.core.routing.RoutingPolicy.AttemptOutcome;

/** An executor in virtual time: slots, and a queue for requests that find no free slot. */
final class FakeExecutor {
  private final EventLoop loop;
  private final int slots;
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private int busy;
  private long overLimitRequests;
  private long arrivalsAfterLimit;
  private double slowFactor = 1;
  private boolean failing;
  private long countFromNanos = Long.MAX_VALUE;

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

  /** Starts counting requests that arrive after a time. */
  void countArrivalsAfter(long nanos) {
    countFromNanos = nanos;
  }

  /** Accepts a request. Reports its outcome when it has run, or immediately if it is rejected. */
  void accept(long sizeNanos, Consumer<AttemptOutcome> onOutcome) {
    if (loop.nowNanos() > countFromNanos) {
      arrivalsAfterLimit++;
    }
    if (failing) {
      onOutcome.accept(AttemptOutcome.NOT_STARTED);
      return;
    }
    Runnable run = () -> run(sizeNanos, onOutcome);
    if (busy >= slots) {
      overLimitRequests++;
      queue.addLast(run);
    } else {
      run.run();
    }
  }

  private void run(long sizeNanos, Consumer<AttemptOutcome> onOutcome) {
    busy++;
    loop.schedule(Math.round(sizeNanos * slowFactor), () -> end(onOutcome));
  }

  private void end(Consumer<AttemptOutcome> onOutcome) {
    busy--;
    onOutcome.accept(AttemptOutcome.ANSWERED);
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

  long overLimitRequests() {
    return overLimitRequests;
  }

  long arrivalsAfterLimit() {
    return arrivalsAfterLimit;
  }
}
