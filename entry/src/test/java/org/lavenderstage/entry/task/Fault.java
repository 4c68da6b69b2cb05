package org.lavenderstage.entry.task;

/** A fault that strikes an owner, the log or a worker. */
enum Fault {
  /** The owner dies before the step takes effect. */
  OWNER_KILLED_BEFORE,
  /** The owner dies once the step has taken effect. */
  OWNER_KILLED_AFTER,
  /** The owner freezes with the step decided, past its lease, and goes on with it when it wakes. */
  OWNER_FROZEN,
  /** The owner loses the log and still reaches the workers, so that two entries hold the cell. */
  TWO_OWNERS,
  /** Appends take effect and their answers are lost. */
  APPEND_ANSWERS_LOST,
  /** The step arrives late and unanswered, yet before its time has passed. */
  STEP_LATE,
  /** The step arrives after the next owner's claim. */
  STEP_VERY_LATE,
  /** A worker cannot be reached for a time and runs on. */
  WORKER_CUT,
  /** A worker fails for good. */
  WORKER_LOST,
  /** The log is down for ten minutes. */
  LOG_DOWN,
  /** Commands take effect and their answers are lost. */
  WORKER_ANSWERS_LOST
}
