package org.lavenderstage.core.job;

/**
 * Paces the restarts of a task whose runs fail soon after their start. The first failures may be
 * the fault of workers, so that the task is started again at once; after these the pause doubles
 * each time. A task that always fails would otherwise take starts and capacity from all others.
 */
final class FailureBackoff {
  /** Number of early failures in a row after each of which the task is restarted at once. */
  private static final int MAX_IMMEDIATE_RESTARTS = 2;

  /** Duration of the first pause in milliseconds; longer than it takes to learn of a failure. */
  private static final long INITIAL_PAUSE_MILLIS = 250;

  /**
   * Longest pause of a long-running task in milliseconds. Users expect a start within 9 s of the
   * last run where there is capacity; half of that remains to find a worker.
   */
  private static final long MAX_LASTING_PAUSE_MILLIS = 4_000;

  /**
   * Longest pause of another task in milliseconds. Users expect a job to have a run within 3 s
   * where there is capacity.
   */
  private static final long MAX_PAUSE_MILLIS = 1_000;

  /** Duration of a run in milliseconds from which on its failure is not an early one. */
  static final long MIN_SOUND_MILLIS = MAX_LASTING_PAUSE_MILLIS;

  private FailureBackoff() {}

  /** Returns whether the restarts of a task are paced after a number of early failures in a row. */
  static boolean isPaced(int earlyFailures) {
    return earlyFailures > MAX_IMMEDIATE_RESTARTS;
  }

  /** Returns the longest pause of a task, in milliseconds. */
  static long maxPauseMillis(boolean longRunning) {
    return longRunning ? MAX_LASTING_PAUSE_MILLIS : MAX_PAUSE_MILLIS;
  }

  /**
   * Returns the pause before a task is started again.
   *
   * @param earlyFailures number of early failures in a row
   * @return the pause in milliseconds, 0 for none
   */
  static long pauseMillis(int earlyFailures, boolean longRunning) {
    if (!isPaced(earlyFailures)) {
      return 0;
    }
    long maxMillis = maxPauseMillis(longRunning);
    int doublings = earlyFailures - MAX_IMMEDIATE_RESTARTS - 1;
    long pauseMillis = INITIAL_PAUSE_MILLIS;
    for (int i = 0; i < doublings && pauseMillis < maxMillis; i++) {
      pauseMillis *= 2;
    }
    return Math.min(maxMillis, pauseMillis);
  }
}
