package org.lavenderstage.core.admission;

/** What becomes of an arriving request. */
public sealed interface AdmissionDecision {
  /** It waits for a slot or gets one at once. */
  record Admitted() implements AdmissionDecision {}

  /**
   * It is refused at once.
   *
   * @param reason why
   * @param retryAfterNanos when a return finds room, in nanoseconds from now
   */
  record Refused(Reason reason, long retryAfterNanos) implements AdmissionDecision {}

  /** Why a request is refused. */
  enum Reason {
    /** Too much waits. */
    QUEUE_FULL,
    /** The predicted wait is longer than the time to the deadline. */
    DEADLINE_HOPELESS
  }
}
