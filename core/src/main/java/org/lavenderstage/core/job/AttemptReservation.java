package org.lavenderstage.core.job;

/**
 * The attempts of the tasks of a step that owners have reserved in the store, beyond those that
 * belong to their terms. A later owner gives higher ones, so that they rise for each task.
 */
public final class AttemptReservation {
  private long inheritedUpTo;
  private long requestedUpTo;
  private long storedUpTo;

  AttemptReservation() {}

  /**
   * Returns up to which attempt previous owners may have given attempts beyond those of their
   * terms.
   *
   * @return the highest of these attempts, 0 for none
   */
  public long inheritedUpTo() {
    return inheritedUpTo;
  }

  /**
   * Returns up to which attempt this owner has asked for a reservation, which may not be stored.
   *
   * @return the highest of these attempts, 0 for none
   */
  public long requestedUpTo() {
    return requestedUpTo;
  }

  /**
   * Returns up to which attempt this owner may give attempts.
   *
   * @return the highest attempt whose reservation is stored, 0 for none
   */
  public long storedUpTo() {
    return storedUpTo;
  }

  /**
   * Asks for a reservation, which takes effect once the progress of the job is stored.
   *
   * @param upTo highest attempt to reserve
   */
  public void request(long upTo) {
    requestedUpTo = Math.max(requestedUpTo, upTo);
  }

  /** Returns the highest attempt that is reserved, as it has to be stored; 0 for none. */
  long upTo() {
    return Math.max(inheritedUpTo, requestedUpTo);
  }

  void restore(long upTo) {
    inheritedUpTo = upTo;
  }

  void recordStored(long upTo) {
    storedUpTo = Math.max(storedUpTo, upTo);
  }
}
