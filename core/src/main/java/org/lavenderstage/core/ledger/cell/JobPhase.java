package org.lavenderstage.core.ledger.cell;

/** How far a job has come. */
public enum JobPhase {
  /** It waits for a worker. */
  ACCEPTED,
  /** An attempt holds a worker's resources. */
  PLACED,
  /** It ran to its end. */
  DONE,
  /** It failed too often. */
  FAILED,
  /** Its workspace took it back. */
  CANCELLED;

  /**
   * Tells whether nothing can follow.
   *
   * @return whether the job has ended
   */
  public boolean isFinal() {
    return this == DONE || this == FAILED || this == CANCELLED;
  }
}
