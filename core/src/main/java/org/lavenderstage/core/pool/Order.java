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
   * Returns the fencing token of the order; the worker ignores the order once it has seen a higher
   * one.
   *
   * @return the token
   */
  long fencingToken();

  /**
   * Starts a run.
   *
   * @param worker the worker
   * @param run the run
   * @param leaseUntilMillis end of the lease on the worker's clock in milliseconds
   * @param sentAtMillis monotonic time of the owner when the order was created
   * @param fencingToken fencing token
   */
  record Start(Worker worker, Run run, long leaseUntilMillis, long sentAtMillis, long fencingToken)
      implements Order {
    Start(Worker worker, Run run, long leaseUntilMillis, long sentAtMillis) {
      this(worker, run, leaseUntilMillis, sentAtMillis, worker.fence().token());
    }
  }

  /**
   * Stops a run.
   *
   * @param worker the worker
   * @param run the run
   * @param fencingToken fencing token
   */
  record Stop(Worker worker, Run run, long fencingToken) implements Order {
    Stop(Worker worker, Run run) {
      this(worker, run, worker.fence().token());
    }
  }

  /**
   * Stops a run that the owner does not track.
   *
   * @param worker the worker
   * @param task the task
   * @param attempt attempt number of the run
   * @param fencingToken fencing token
   */
  record StopUntracked(Worker worker, TaskId task, long attempt, long fencingToken)
      implements Order {
    StopUntracked(Worker worker, TaskId task, long attempt) {
      this(worker, task, attempt, worker.fence().token());
    }
  }

  /**
   * Sets the speed limit of a run.
   *
   * @param worker the worker
   * @param run the run
   * @param percent the limit in percent of full speed
   * @param fencingToken fencing token
   */
  record SetSpeedLimit(Worker worker, Run run, int percent, long fencingToken) implements Order {
    SetSpeedLimit(Worker worker, Run run, int percent) {
      this(worker, run, percent, worker.fence().token());
    }
  }

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
   * @param fencingToken fencing token
   */
  record Poll(
      Worker worker,
      long leaseUntilMillis,
      long acknowledgedUpTo,
      int waitMillis,
      long sentAtMillis,
      long fencingToken)
      implements Order {
    Poll(
        Worker worker,
        long leaseUntilMillis,
        long acknowledgedUpTo,
        int waitMillis,
        long sentAtMillis) {
      this(
          worker,
          leaseUntilMillis,
          acknowledgedUpTo,
          waitMillis,
          sentAtMillis,
          worker.fence().token());
    }
  }
}
