package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/** An order to one worker. Leases are absolute times on the worker's monotonic clock. */
public sealed interface Order {
  /**
   * Returns the worker that the order goes to.
   *
   * @return the worker
   */
  Worker worker();

  /**
   * Starts a run.
   *
   * @param worker the worker
   * @param run the run
   * @param leaseUntilMillis end of the lease on the worker's clock in milliseconds
   */
  record Start(Worker worker, Run run, long leaseUntilMillis) implements Order {}

  /**
   * Stops a run.
   *
   * @param worker the worker
   * @param run the run
   */
  record Stop(Worker worker, Run run) implements Order {}

  /**
   * Stops a run that the owner does not track.
   *
   * @param worker the worker
   * @param task the task
   * @param attempt attempt number of the run
   */
  record StopUntracked(Worker worker, TaskId task, int attempt) implements Order {}

  /**
   * Sets the speed limit of a run.
   *
   * @param worker the worker
   * @param run the run
   * @param percent the limit in percent of full speed
   */
  record SetSpeedLimit(Worker worker, Run run, int percent) implements Order {}

  /**
   * Renews the leases of all runs, acknowledges ended runs and requests a report.
   *
   * @param worker the worker
   * @param leaseUntilMillis end of the leases on the worker's clock in milliseconds, 0 for no
   *     renewal
   * @param acknowledgedUpTo number of the last ended run that is stored; the worker discards the
   *     runs up to it
   * @param waitMillis how long the worker may wait for a run to end before it reports, in
   *     milliseconds
   * @param sentAtMillis monotonic time of the owner when the order was created
   */
  record Poll(
      Worker worker,
      long leaseUntilMillis,
      long acknowledgedUpTo,
      int waitMillis,
      long sentAtMillis)
      implements Order {}
}
