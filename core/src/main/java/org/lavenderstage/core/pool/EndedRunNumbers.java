package org.lavenderstage.core.pool;

/**
 * The numbers up to which the ended runs of an incarnation of a worker are known to this owner, are
 * stored, and were discarded by the worker.
 */
final class EndedRunNumbers {
  private long seenUpTo;
  private long storedUpTo;
  private long acknowledgedUpTo;

  /** Returns the highest number of an ended run that this owner knows. */
  long seenUpTo() {
    return seenUpTo;
  }

  void recordSeen(long number) {
    seenUpTo = Math.max(seenUpTo, number);
  }

  /** Returns the highest number of an ended run that is stored. */
  long storedUpTo() {
    return storedUpTo;
  }

  void recordStored(long number) {
    storedUpTo = Math.max(storedUpTo, number);
    seenUpTo = Math.max(seenUpTo, number);
  }

  void recordAcknowledged(long number) {
    acknowledgedUpTo = Math.max(acknowledgedUpTo, number);
  }

  /** Returns whether ended runs that the worker has not discarded are stored. */
  boolean isAcknowledgementDue() {
    return storedUpTo > acknowledgedUpTo;
  }

  /** Returns whether the worker discarded all ended runs, so that a later owner gets none. */
  boolean isAllAcknowledged() {
    return seenUpTo == storedUpTo && storedUpTo == acknowledgedUpTo;
  }
}
