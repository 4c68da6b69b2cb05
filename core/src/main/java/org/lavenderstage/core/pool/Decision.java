package org.lavenderstage.core.pool;

/** Decisions and observations of the scheduler that are logged. */
public enum Decision {
  /** A job was submitted; it is not stored yet. */
  JOB_SUBMITTED,
  /** A job was refused, since the work before it fills the capacity beyond its deadline. */
  JOB_NOT_ADMITTED,
  /** A job has ended. */
  JOB_ENDED,
  /** A run was ordered. */
  RUN_ORDERED,
  /** A run that another owner ordered was found on a worker and is tracked from now on. */
  RUN_ADOPTED,
  /** A worker rejected an order. */
  ORDER_REJECTED,
  /** An order got no answer. */
  ORDER_UNANSWERED,
  /** A run has ended. */
  RUN_ENDED,
  /** A run has ended, though no worker listed its end. */
  RUN_LOST,
  /** A run is to be stopped. */
  RUN_STOPPED,
  /** Runs are to be stopped for a task whose caller gains more than theirs lose. */
  RUNS_PREEMPTED,
  /** A job of an underserved size ranks above the other jobs of its priority from now on. */
  TURN_GIVEN,
  /** A run that the owner does not track was found on a worker and is to be stopped. */
  RUN_STRAY,
  /** The speed limit of a best-effort run was changed. */
  RUN_PACED,
  /** A long-running task that has run before waits for a worker. */
  TASK_DEFERRED,
  /** The next run of a task is delayed, since several in a row failed soon after their start. */
  TASK_DELAYED,
  /** A step has failed on several workers, and its failures are not held against workers. */
  STEP_FAULTY,
  /** A job has waiting tasks, and none was placed for a while. */
  JOB_WAITS,
  /** A worker was added to the list of workers or changed its listing. */
  WORKER_LISTED,
  /** A worker was removed from the list of workers. */
  WORKER_UNLISTED,
  /** A worker reported to this owner for the first time. */
  WORKER_GREETED,
  /** A worker restarted under the same identifier. */
  WORKER_REBORN,
  /** A worker did not answer a poll. */
  WORKER_SILENT,
  /** A worker answers polls again. */
  WORKER_BACK,
  /** A worker is removed, since it is neither listed nor responsive and has no runs. */
  WORKER_GONE,
  /** A worker gets no new runs for a while because runs on it failed. */
  WORKER_QUARANTINED,
  /** No unreported run of a previous owner can exist any more. */
  INHERITANCE_SETTLED,
  /** The owner renews the leases of an unresponsive worker no more, for a later owner to know. */
  RENEWAL_STOPPED,
  /** The fencing token of a worker was raised, since the worker may have restarted. */
  TOKEN_RAISED,
  /** The owner starts nothing more in a failure domain, since the operator wants it evacuated. */
  DOMAIN_EVACUATED,
  /** The evacuation of a failure domain was withdrawn; its workers return to use. */
  DOMAIN_RETURNED,
  /** A long-running task is stopped in an evacuated failure domain, to run on another worker. */
  TASK_MOVED
}
