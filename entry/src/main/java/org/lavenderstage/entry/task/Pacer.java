package org.lavenderstage.entry.task;

import java.util.concurrent.TimeUnit;

/** Lets something happen at most once in an interval. */
final class Pacer {
  private final long intervalNanos;
  private long dueNanos = System.nanoTime();

  Pacer(long intervalMillis) {
    this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
  }

  /** Tells whether the interval has passed, and starts the next one if so. */
  boolean isDue() {
    long now = System.nanoTime();
    if (now - dueNanos < 0) {
      return false;
    }
    dueNanos = now + intervalNanos;
    return true;
  }
}
