package org.lavenderstage.core.placement;

/** What the owner of a cell should do next with one job. */
public sealed interface PlannedAction {
  /**
   * Names the job.
   *
   * @return identifier of the job
   */
  String job();

  /**
   * Place the next attempt on a worker.
   *
   * @param job identifier of the job
   * @param worker identifier of the worker
   */
  record Place(String job, String worker) implements PlannedAction {}

  /**
   * Throttle the running attempt.
   *
   * @param job identifier of the job
   */
  record Throttle(String job) implements PlannedAction {}

  /**
   * Let the throttled attempt run at full speed again.
   *
   * @param job identifier of the job
   */
  record Unthrottle(String job) implements PlannedAction {}

  /**
   * Checkpoint the running attempt and stop it; it is placed again later.
   *
   * @param job identifier of the job
   */
  record Evict(String job) implements PlannedAction {}
}
