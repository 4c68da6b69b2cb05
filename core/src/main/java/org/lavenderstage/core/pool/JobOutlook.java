package org.lavenderstage.core.pool;

/**
 * What a job can still earn for its caller, depending on when it ends: its full value until its
 * soft deadline, little until its hard deadline, and nothing after that. Estimates are uncertain,
 * so the expected value falls gradually around each deadline.
 *
 * @param value value of the job if it ends in time, where 1 is that of a job of mean work
 * @param softSlackMillis time from the expected end of the job to its soft deadline, in
 *     milliseconds; negative if the job is late
 * @param hardSlackMillis time from the expected end of the job to its hard deadline, in
 *     milliseconds; negative if the job is too late to have any value
 * @param toleranceMillis time by which the job may end earlier or later than expected, in
 *     milliseconds
 */
record JobOutlook(double value, long softSlackMillis, long hardSlackMillis, long toleranceMillis) {
  /** Fraction of its value that a job has between its deadlines; defined by the users. */
  private static final double LATE_VALUE = 0.15;

  /** Error of the estimated remaining time of a job, as a fraction. */
  private static final double ESTIMATE_ERROR = 0.5;

  /** Wait for a worker that the users of long-running tasks accept, in milliseconds. */
  private static final long LASTING_WAIT_MILLIS = 2_000;

  /**
   * Returns the outlook of a job of short tasks.
   *
   * @param remainingMillis length of the critical path that remains, in milliseconds
   */
  static JobOutlook ofShortTasks(
      double value, long softSlackMillis, long hardSlackMillis, long remainingMillis) {
    long tolerance = 1 + Math.round(ESTIMATE_ERROR * remainingMillis);
    return new JobOutlook(value, softSlackMillis, hardSlackMillis, tolerance);
  }

  /** Returns the outlook of a job with long-running tasks, which earns while they run. */
  static JobOutlook ofLongRunningTasks(double value) {
    long half = LASTING_WAIT_MILLIS / 2;
    return new JobOutlook(value, half, half, half);
  }

  /** Returns the expected value if the job ends later than expected by a time in milliseconds. */
  double valueAfterDelay(long delayMillis) {
    double late = LATE_VALUE * chanceToMeet(hardSlackMillis - delayMillis);
    return value * (late + (1 - LATE_VALUE) * chanceToMeet(softSlackMillis - delayMillis));
  }

  /** Returns the expected value that is lost by a delay in milliseconds. */
  double lossByDelay(long delayMillis) {
    return valueAfterDelay(0) - valueAfterDelay(delayMillis);
  }

  /** Returns the longest delay that costs nothing, in milliseconds; negative if the job is late. */
  long delayWithoutLossMillis() {
    return softSlackMillis - toleranceMillis;
  }

  /** Returns whether the job may end before its hard deadline. */
  boolean canEarn() {
    return valueAfterDelay(0) > 0;
  }

  private double chanceToMeet(long slackMillis) {
    double chance = (slackMillis + toleranceMillis) / (2.0 * toleranceMillis);
    return Math.max(0, Math.min(1, chance));
  }
}
