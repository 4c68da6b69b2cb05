package org.lavenderstage.core.task;

/** Limits an operation to at most one per interval. */
final class RateLimiter {
  private final long intervalMillis;
  private long nextMillis = Long.MIN_VALUE;

  RateLimiter(long intervalMillis) {
    this.intervalMillis = intervalMillis;
  }

  /** Returns whether the operation is permitted now; if so, starts the next interval. */
  boolean tryAcquire(long nowMillis) {
    if (nowMillis < nextMillis) {
      return false;
    }
    nextMillis = nowMillis + intervalMillis;
    return true;
  }

  void reset() {
    nextMillis = Long.MIN_VALUE;
  }
}
