package org.lavenderstage.core.task;

/**
 * What the owner of a cell is told once.
 *
 * @param cell name of the cell
 * @param entry incarnation of this entry
 * @param cellLeaseMillis length of a cell lease in milliseconds
 * @param workerLeaseMillis length of a worker lease in milliseconds
 * @param taskHorizonMillis task horizon in milliseconds from a placement or extension
 * @param clockSkewMillis largest difference between two clocks in milliseconds
 */
public record OwnerSettings(
    String cell,
    String entry,
    long cellLeaseMillis,
    long workerLeaseMillis,
    long taskHorizonMillis,
    long clockSkewMillis) {
  private static final long MAX_COMMAND_MILLIS = 2000;
  private static final long COMMANDS_PER_LEASE = 3;
  private static final long HORIZON_PARTS = 5;

  /**
   * Returns how long a command may be on its way before the worker refuses it.
   *
   * @return milliseconds
   */
  public long commandMillis() {
    return Math.min(MAX_COMMAND_MILLIS, renewalMillis());
  }

  /**
   * Returns the time between two renewals of a worker lease.
   *
   * @return milliseconds
   */
  public long renewalMillis() {
    return workerLeaseMillis / COMMANDS_PER_LEASE;
  }

  /**
   * Returns the rest of a task horizon below which it is extended. It is as late as an outage of
   * the log that lasts three quarters of the horizon permits.
   *
   * @return milliseconds
   */
  public long extendBelowMillis() {
    return taskHorizonMillis - taskHorizonMillis / HORIZON_PARTS;
  }

  /**
   * Returns the largest error of a comparison between a worker's clock and this entry's estimate of
   * the log's time.
   *
   * @return milliseconds
   */
  public long doubleSkewMillis() {
    return 2 * clockSkewMillis;
  }
}
