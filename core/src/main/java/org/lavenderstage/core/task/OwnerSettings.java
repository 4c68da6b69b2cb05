package org.lavenderstage.core.task;

/**
 * The settings of the owner of a cell.
 *
 * @param cell the name of the cell
 * @param entry the identifier of this incarnation of the entry
 * @param cellLeaseMillis the length of a cell lease in milliseconds
 * @param workerLeaseMillis the length of a worker lease in milliseconds
 * @param taskHorizonMillis the time in milliseconds that an attempt may run after its placement or
 *     last extension in the log
 * @param clockSkewMillis the largest difference between two clocks in milliseconds
 */
public record OwnerSettings(
    String cell,
    String entry,
    long cellLeaseMillis,
    long workerLeaseMillis,
    long taskHorizonMillis,
    long clockSkewMillis) {
  private static final long MAX_COMMAND_TIMEOUT_MILLIS = 2000;
  private static final long RENEWALS_PER_LEASE = 3;
  private static final long EXTENSIONS_PER_HORIZON = 5;

  /**
   * Returns the time after which a worker refuses a command.
   *
   * @return the time in milliseconds
   */
  public long commandTimeoutMillis() {
    return Math.min(MAX_COMMAND_TIMEOUT_MILLIS, renewalIntervalMillis());
  }

  /**
   * Returns the time between two renewals of a worker lease.
   *
   * @return the time in milliseconds
   */
  public long renewalIntervalMillis() {
    return workerLeaseMillis / RENEWALS_PER_LEASE;
  }

  /**
   * Returns the remaining time of a task horizon below which it is extended. A horizon is extended
   * early enough for running tasks to survive a log outage of three quarters of the horizon, and no
   * earlier than that requires.
   *
   * @return the time in milliseconds
   */
  public long extensionThresholdMillis() {
    return taskHorizonMillis - taskHorizonMillis / EXTENSIONS_PER_HORIZON;
  }

  /**
   * Returns the largest error when a worker's clock is compared with this entry's estimate of the
   * log's time.
   *
   * @return the error in milliseconds, twice the clock skew
   */
  public long maxClockErrorMillis() {
    return 2 * clockSkewMillis;
  }
}
