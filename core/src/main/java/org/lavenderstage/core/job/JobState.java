package org.lavenderstage.core.job;

/** The state of a job as reported to callers. */
public enum JobState {
  /** No task has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as the queue allows attempts. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED;

  /**
   * Returns the state of a job, based on its stored phase.
   *
   * @param job the job
   * @return the state
   */
  public static JobState of(Job job) {
    return switch (job.storedPhase()) {
      case ACTIVE -> job.hasBegun() ? RUNNING : QUEUED;
      case COMPLETED -> COMPLETED;
      case FAILED -> FAILED;
      case CANCELLED -> CANCELLED;
    };
  }
}
