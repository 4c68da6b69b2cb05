package org.lavenderstage.core.pool;

/**
 * Tracks how the latest runs on a worker ended. A worker on which several runs in a row fail is
 * quarantined for a while, twice as long each time; a success resets that.
 */
final class RunHistory {
  /** Consecutive failures before quarantine; one faulty job with several tasks rarely causes it. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** Duration of the first quarantine in milliseconds; about the run time of a short task. */
  private static final long INITIAL_QUARANTINE_MILLIS = 1_000;

  /** Longest quarantine in milliseconds, so that a recovered worker is used again soon. */
  private static final long MAX_QUARANTINE_MILLIS = 4_000;

  private int consecutiveFailures;
  private long quarantineMillis = INITIAL_QUARANTINE_MILLIS;
  private boolean rejectsStarts;

  /** Records a run that succeeded. */
  void recordSuccess() {
    consecutiveFailures = 0;
    quarantineMillis = INITIAL_QUARANTINE_MILLIS;
  }

  /**
   * Records a run that failed.
   *
   * @return how long the worker is quarantined in milliseconds, 0 for not at all
   */
  long recordFailure() {
    consecutiveFailures++;
    if (consecutiveFailures < FAILURES_TO_QUARANTINE) {
      return 0;
    }
    long currentMillis = quarantineMillis;
    quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * quarantineMillis);
    return currentMillis;
  }

  /** Records whether the worker rejected or ignored the latest start as if it were unhealthy. */
  void recordStartRejected(boolean rejected) {
    rejectsStarts = rejected;
  }

  /** Returns whether the latest run failed or the latest start was not carried out. */
  boolean isSuspect() {
    return consecutiveFailures > 0 || rejectsStarts;
  }
}
