package org.lavenderstage.entry.job;

import java.util.function.LongSupplier;

/**
 * Detects from another thread that the thread of an owner stands still. A process that was paused
 * or suspended makes few checks meanwhile, so its pause does not count. Used by one thread.
 */
final class StallDetector {
  /** Time without a step after which a thread counts as stalled, in milliseconds. */
  static final long STALL_MILLIS = 3_000;

  /** Least number of checks without a step; about the checks of that time on a busy VM. */
  private static final int MIN_CHECKS = 10;

  private final LongSupplier clock;
  private long observedTerm;
  private long observedSteps;
  private long observedSinceMillis;
  private int checks;

  /**
   * Creates a detector.
   *
   * @param clock returns monotonic time in milliseconds
   */
  StallDetector(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Checks the owner of a term.
   *
   * @param steps number of steps that its thread has begun
   * @return whether the thread stands still
   */
  boolean isStalled(long term, long steps) {
    long nowMillis = clock.getAsLong();
    if (term != observedTerm || steps != observedSteps) {
      observedTerm = term;
      observedSteps = steps;
      observedSinceMillis = nowMillis;
      checks = 0;
      return false;
    }
    checks++;
    return checks >= MIN_CHECKS && nowMillis - observedSinceMillis >= STALL_MILLIS;
  }
}
