package org.lavenderstage.entry.task;

/** What became of a submission or a cancellation. */
public enum JobFate {
  /** It took effect. */
  IN_LOG,
  /** The fold refused it, or it could not be handed over; it never takes effect. */
  REFUSED,
  /** No worker of any cell is large enough; nothing was proposed. */
  TOO_LARGE,
  /** The log does not answer; nothing was proposed. */
  LOG_UNAVAILABLE,
  /** It was proposed and not read back in time; it may take effect yet. */
  UNKNOWN
}
