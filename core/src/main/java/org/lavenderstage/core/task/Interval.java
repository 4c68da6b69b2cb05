package org.lavenderstage.core.task;

/** Lets something happen at most once in an interval. */
final class Interval {
  private final long lengthMillis;
  private long dueMillis = Long.MIN_VALUE;

  Interval(long lengthMillis) {
    this.lengthMillis = lengthMillis;
  }

  /** Tells whether the interval has passed, and starts the next one if so. */
  boolean isDue(long nowMillis) {
    if (nowMillis < dueMillis) {
      return false;
    }
    dueMillis = nowMillis + lengthMillis;
    return true;
  }

  void reset() {
    dueMillis = Long.MIN_VALUE;
  }
}
