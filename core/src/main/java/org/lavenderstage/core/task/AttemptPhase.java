package org.lavenderstage.core.task;

/** The phase of an attempt as reported by a worker. */
public enum AttemptPhase {
  /** The attempt is running. */
  RUNNING,
  /** The attempt completed successfully. */
  DONE,
  /** The attempt failed. */
  FAILED,
  /** The attempt wrote a checkpoint and stopped. */
  CHECKPOINTED,
  /** The attempt was stopped. */
  STOPPED,
  /** The worker lease of the attempt expired. */
  LAPSED,
  /** The command arrived after its deadline, or the worker has a newer attempt. */
  REFUSED,
  /** The worker does not know the attempt. */
  UNKNOWN
}
