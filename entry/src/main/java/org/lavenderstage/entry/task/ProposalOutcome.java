package org.lavenderstage.entry.task;

/** The outcome of proposing a submission or a cancellation of a job. */
public enum ProposalOutcome {
  /** The record took effect, or a cancellation came after the job had been cancelled or ended. */
  IN_LOG,
  /** The ledger refused the record, or it could not be queued; it will never take effect. */
  REFUSED,
  /** No worker of any cell is large enough for the job; nothing was proposed. */
  TOO_LARGE,
  /** The log does not answer; nothing was proposed. */
  LOG_UNAVAILABLE,
  /** The record was proposed but not read from the log in time; it may still take effect. */
  UNKNOWN
}
