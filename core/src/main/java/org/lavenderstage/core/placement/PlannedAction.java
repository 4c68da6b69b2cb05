package org.lavenderstage.core.placement;

/** An action that the owner of a cell should take on one job. */
public sealed interface PlannedAction {
  /**
   * Returns the identifier of the job.
   *
   * @return the identifier of the job
   */
  String job();

  /**
   * Places the next attempt on a worker.
   *
   * @param job the identifier of the job
   * @param worker the identifier of the worker
   */
  record Place(String job, String worker) implements PlannedAction {}

  /**
   * Throttles the running attempt.
   *
   * @param job the identifier of the job
   */
  record Throttle(String job) implements PlannedAction {}

  /**
   * Lets the throttled attempt run at full speed again.
   *
   * @param job the identifier of the job
   */
  record Unthrottle(String job) implements PlannedAction {}

  /**
   * Checkpoints the running attempt and stops it. The job is placed again later.
   *
   * @param job the identifier of the job
   */
  record Evict(String job) implements PlannedAction {}
}
