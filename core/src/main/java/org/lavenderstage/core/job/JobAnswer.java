package org.lavenderstage.core.job;

/** The answer to a caller's request about jobs. */
public sealed interface JobAnswer {
  /** The job is accepted and stored. */
  record Accepted() implements JobAnswer {}

  /**
   * The state of a job.
   *
   * @param state the state
   */
  record State(JobState state) implements JobAnswer {}

  /** The job is cancelled, and that is stored. */
  record Cancelled() implements JobAnswer {}

  /**
   * The number of waiting jobs.
   *
   * @param count number of jobs of which no task has started
   */
  record Waiting(long count) implements JobAnswer {}

  /** There is no such job. */
  record UnknownJob() implements JobAnswer {}

  /** There is no such queue. */
  record UnknownQueue() implements JobAnswer {}

  /**
   * The request is malformed.
   *
   * @param why what is wrong with the request
   */
  record Malformed(String why) implements JobAnswer {}

  /**
   * The request had no effect and will never have one.
   *
   * @param why the reason
   * @param retryAfterMillis time after which the caller should retry, in milliseconds
   */
  record Rejected(String why, long retryAfterMillis) implements JobAnswer {}

  /**
   * The job was refused for lack of capacity: the request had no effect and will never have one.
   *
   * @param why the reason
   * @param retryAfterMillis time after which capacity is expected for the job, in milliseconds
   */
  record Refused(String why, long retryAfterMillis) implements JobAnswer {}

  /**
   * The outcome of the request is unknown: it may have had an effect, or may still have one.
   *
   * @param why the reason
   */
  record Undecided(String why) implements JobAnswer {}
}
