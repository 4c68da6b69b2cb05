package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/** An order to one worker. Leases are absolute times on the worker's steady clock. */
public sealed interface Order {
  /**
   * Returns the worker that the order goes to.
   *
   * @return the worker
   */
  Worker worker();

  /**
   * Start a run.
   *
   * @param worker the worker
   * @param run the run
   * @param leaseUntilMillis end of the lease on the worker's clock
   */
  record Start(Worker worker, Run run, long leaseUntilMillis) implements Order {}

  /**
   * Stop a run.
   *
   * @param worker the worker
   * @param run the run
   */
  record Stop(Worker worker, Run run) implements Order {}

  /**
   * Stop a run that the owner does not want and keeps no account of.
   *
   * @param worker the worker
   * @param task the task
   * @param attempt number of the run
   */
  record StopUntracked(Worker worker, TaskId task, int attempt) implements Order {}

  /**
   * Let a run work at a share of its speed.
   *
   * @param worker the worker
   * @param run the run
   * @param percent the share
   */
  record SetSpeedLimit(Worker worker, Run run, int percent) implements Order {}

  /**
   * Renew the lease of all runs, and report.
   *
   * @param worker the worker
   * @param leaseUntilMillis end of the lease on the worker's clock, 0 for no renewal
   * @param acknowledgedUpTo number of the last end that is stored
   * @param waitMillis how long the worker may wait for an end before it reports
   * @param sentAtMillis steady time here when the order was made
   */
  record Poll(
      Worker worker,
      long leaseUntilMillis,
      long acknowledgedUpTo,
      int waitMillis,
      long sentAtMillis)
      implements Order {}
}
