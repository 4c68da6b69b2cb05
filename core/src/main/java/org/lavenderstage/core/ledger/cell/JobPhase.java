package org.lavenderstage.core.ledger.cell;

/** Phase of a job. */
public enum JobPhase {
  /** The job waits for a worker. */
  ACCEPTED,
  /** An attempt has resources of a worker allocated. */
  PLACED,
  /** The job completed. */
  DONE,
  /** The job failed on too many workers, or no worker can run it. */
  FAILED,
  /** The job was cancelled by its workspace. */
  CANCELLED;

  /**
   * Returns whether this phase is final.
   *
   * @return whether the job has ended
   */
  public boolean isFinal() {
    return this == DONE || this == FAILED || this == CANCELLED;
  }
}
