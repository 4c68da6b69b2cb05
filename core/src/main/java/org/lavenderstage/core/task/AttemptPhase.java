package org.lavenderstage.core.task;

/** What a worker says of an attempt. */
public enum AttemptPhase {
  /** It runs. */
  RUNNING,
  /** It ran to its end. */
  DONE,
  /** It failed. */
  FAILED,
  /** It wrote a checkpoint and stopped. */
  CHECKPOINTED,
  /** It was stopped. */
  STOPPED,
  /** Its worker lease ended. */
  LAPSED,
  /** The command came too late, or the worker has a newer attempt. */
  REFUSED,
  /** The worker has not heard of it. */
  UNKNOWN
}
