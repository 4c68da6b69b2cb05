package org.lavenderstage.core.admission;

/** The decision on an arriving request. */
public sealed interface AdmissionDecision {
  /** The request is queued; it gets a slot at once if one is free. */
  record Admitted() implements AdmissionDecision {}

  /**
   * The request is refused.
   *
   * @param reason why it is refused
   * @param retryAfterNanos delay in nanoseconds after which a retry is expected to find a free slot
   */
  record Refused(Reason reason, long retryAfterNanos) implements AdmissionDecision {}

  /** Why a request is refused. */
  enum Reason {
    /** The queue, or the workspace's part of it, is full. */
    QUEUE_FULL,
    /** The predicted wait takes too much of the time to the deadline. */
    DEADLINE_HOPELESS
  }
}
