package org.lavenderstage.core.pool;

/** Determines how long a worker may wait for a run to end before it reports. */
final class ReportWait {
  /** Usual wait, in milliseconds. */
  private static final int REPORT_WAIT_MILLIS = 1_000;

  /**
   * Shorter wait while the outcome of an order to a run is unknown, in milliseconds; the longest
   * duration of a stop.
   */
  private static final int UNKNOWN_OUTCOME_WAIT_MILLIS = 200;

  /**
   * Shorter wait while a serving task exceeds its target latency, in milliseconds; the window that
   * the measurements in a report cover.
   */
  private static final int OVER_TARGET_WAIT_MILLIS =
      (int) BestEffortInterference.REPORT_WINDOW_MILLIS;

  private ReportWait() {}

  /** Returns the longest wait of a worker's next report in milliseconds. */
  static int maxMillis(Worker worker) {
    if (worker.isUnresponsive()) {
      // Its leases are renewed again, and it gets runs, from the next report on.
      return 0;
    }
    if (worker.hasRunsWithUnknownOutcome()) {
      return UNKNOWN_OUTCOME_WAIT_MILLIS;
    }
    boolean targetExceeded =
        worker.bestEffortCount() > 0
            && worker.isServing()
            && worker.runs().stream().anyMatch(InterferenceController::exceedsTarget);
    return targetExceeded ? OVER_TARGET_WAIT_MILLIS : REPORT_WAIT_MILLIS;
  }
}
