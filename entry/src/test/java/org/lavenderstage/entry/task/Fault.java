package org.lavenderstage.entry.task;

/** A fault of an owner, the log or a worker. */
enum Fault {
  /** The owner is killed before the step takes effect. */
  OWNER_KILLED_BEFORE,
  /** The owner is killed after the step has taken effect. */
  OWNER_KILLED_AFTER,
  /** The owner releases the cell and stops while commands are in flight. */
  OWNER_DRAINED,
  /**
   * The owner freezes after deciding on the step, for longer than its lease, and executes the step
   * when it resumes.
   */
  OWNER_FROZEN,
  /**
   * The owner is cut off from the log and still reaches the workers, so that two entries consider
   * themselves owners of the cell.
   */
  OWNER_PARTITIONED_FROM_LOG,
  /** Appends take effect, but their answers are lost. */
  APPEND_ANSWERS_LOST,
  /** The step is delayed and not answered, but arrives before its deadline. */
  STEP_DELAYED,
  /** The step is delayed until after the next owner's claim. */
  STEP_DELAYED_PAST_CLAIM,
  /** A worker keeps running but is unreachable for longer than a worker lease. */
  WORKER_PARTITIONED,
  /** A worker keeps running but is unreachable, for less than a worker lease. */
  WORKER_PARTITIONED_BRIEFLY,
  /** A worker crashes and does not return. */
  WORKER_CRASHED,
  /** The log is unavailable for ten minutes. */
  LOG_DOWN,
  /** Commands take effect, but their answers are lost. */
  WORKER_ANSWERS_LOST
}
