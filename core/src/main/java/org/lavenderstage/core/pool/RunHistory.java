package org.lavenderstage.core.pool;

/**
 * How the latest runs on a worker ended. A worker that fails several in a row is kept out of use
 * for a while, twice as long each time; one success clears it.
 */
final class RunHistory {
  /** Failures in a row that one faulty job with several tasks seldom causes. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** First time out of use in milliseconds; about the run time of a short task. */
  private static final long FIRST_QUARANTINE_MILLIS = 1_000;

  /** Longest time out of use in milliseconds, so that a recovered worker is found again. */
  private static final long LONGEST_QUARANTINE_MILLIS = 4_000;

  private int failuresInRow;
  private long quarantineMillis = FIRST_QUARANTINE_MILLIS;
  private boolean refusesStarts;

  /** Counts a success. */
  void succeeded() {
    failuresInRow = 0;
    quarantineMillis = FIRST_QUARANTINE_MILLIS;
  }

  /** Counts a failure; returns how long the worker is kept out of use, 0 for not at all. */
  long failed() {
    failuresInRow++;
    if (failuresInRow < FAILURES_TO_QUARANTINE) {
      return 0;
    }
    long pause = quarantineMillis;
    quarantineMillis = Math.min(LONGEST_QUARANTINE_MILLIS, 2 * quarantineMillis);
    return pause;
  }

  /** Notes whether the worker did nothing about the latest start since it is unhealthy. */
  void refusedStart(boolean refused) {
    refusesStarts = refused;
  }

  /** Tells whether the latest run failed, or the latest start was refused. */
  boolean isSuspect() {
    return failuresInRow > 0 || refusesStarts;
  }
}
