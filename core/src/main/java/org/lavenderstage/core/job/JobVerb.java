package org.lavenderstage.core.job;

/** The operation that a caller requests on a job or a queue. */
public enum JobVerb {
  /** Submit a job. */
  SUBMIT,
  /** Return the state of a job. */
  STATE,
  /** Cancel a job. */
  CANCEL,
  /** Count the jobs of a queue of which no task has started. */
  WAITING
}
