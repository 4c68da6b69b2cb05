package org.lavenderstage.core.pool;

/** What the scheduler decides or learns, for the log. */
public enum Decision {
  /** A job was taken in; it is not stored yet. */
  JOB_SUBMITTED,
  /** A job has ended. */
  JOB_ENDED,
  /** A run was ordered. */
  RUN_ORDERED,
  /** A run that another owner ordered was found on a worker. */
  RUN_ADOPTED,
  /** The worker did nothing about an order. */
  ORDER_REJECTED,
  /** An order got no answer. */
  ORDER_UNANSWERED,
  /** A run has ended. */
  RUN_ENDED,
  /** A run is gone without a listed end. */
  RUN_LOST,
  /** A run is to be stopped. */
  RUN_STOPPED,
  /** A run that nobody wants was found on a worker. */
  RUN_STRAY,
  /** A filling run is let work at another share. */
  RUN_PACED,
  /** A lasting task that has run before waits for a place. */
  TASK_DEFERRED,
  /** A job has tasks whose turn has come, and none got a place for a while. */
  JOB_WAITS,
  /** A worker came into the list or changed its listing. */
  WORKER_LISTED,
  /** A worker left the list. */
  WORKER_UNLISTED,
  /** A worker reported to this owner for the first time. */
  WORKER_GREETED,
  /** A worker began a new life in place. */
  WORKER_REBORN,
  /** A worker does not answer. */
  WORKER_SILENT,
  /** A worker answers again. */
  WORKER_BACK,
  /** A worker is gone, and what ran there with it. */
  WORKER_GONE,
  /** A worker gets no new runs for a while. */
  WORKER_QUARANTINED,
  /** No run of a former owner can be under way unseen any more. */
  INHERITANCE_SETTLED
}
