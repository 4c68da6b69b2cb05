package org.lavenderstage.core.outcome;

/** The numbered result codes that callers receive; docs/RESULTS.md has a row for each. */
public enum ResultCode {
  /** The upstream answered completely. */
  ANSWERED(1000, 200, Outcome.ANSWERED, "the upstream answered"),
  /** The job was accepted and is in the log. */
  JOB_ACCEPTED(1001, 202, Outcome.ANSWERED, "the job is accepted"),
  /** The state of a job. */
  JOB_READ(1002, 200, Outcome.ANSWERED, "the state of the job"),
  /** The job was cancelled and will end. */
  JOB_CANCELLED(1003, 202, Outcome.ANSWERED, "the job will end"),
  /** A malformed request. */
  BAD_REQUEST(2000, 400, Outcome.NOT_ACCEPTED, "the request is malformed"),
  /** A key that is missing or not a UUIDv7. */
  BAD_KEY(2001, 400, Outcome.NOT_ACCEPTED, "the Idempotency-Key is missing or no UUIDv7"),
  /** A token that is missing or does not belong to the workspace. */
  BAD_TOKEN(2002, 401, Outcome.NOT_ACCEPTED, "the bearer token is missing or wrong"),
  /** A service that is not in the sheet. */
  UNKNOWN_SERVICE(2003, 404, Outcome.NOT_ACCEPTED, "there is no such service"),
  /** A job that the workspace does not have. */
  UNKNOWN_JOB(2004, 404, Outcome.NOT_ACCEPTED, "there is no such job"),
  /** A body over the limit. */
  BODY_TOO_LARGE(2005, 413, Outcome.NOT_ACCEPTED, "the body is over the limit"),
  /** A key whose time lies outside the window of kept claims. */
  KEY_EXPIRED(2006, 409, Outcome.NOT_ACCEPTED, "the key is outside the window of kept claims"),
  /** A job whose numbers are negative or missing. */
  BAD_JOB(2100, 400, Outcome.NOT_ACCEPTED, "a number of the job is missing or out of range"),
  /** A batch class that is not in the sheet. */
  UNKNOWN_BATCH_CLASS(2101, 400, Outcome.NOT_ACCEPTED, "there is no such batch class"),
  /** A job that does not fit on any worker. */
  JOB_TOO_LARGE(2102, 400, Outcome.NOT_ACCEPTED, "no worker is large enough for the job"),
  /** A job or cancellation that was passed to the log and not read back within the deadline. */
  JOB_FATE_UNKNOWN(2103, 504, Outcome.UNKNOWN, "the log has not shown the record in time"),
  /** A path that is not served. */
  UNKNOWN_PATH(2200, 404, Outcome.NOT_ACCEPTED, "there is no such path"),
  /** A method that the path does not support. */
  METHOD_NOT_ALLOWED(2201, 405, Outcome.NOT_ACCEPTED, "the path does not take this method"),
  /** A request whose body was incomplete. */
  REQUEST_CUT(2202, 400, Outcome.NOT_ACCEPTED, "the request did not come whole"),
  /** A full ring or queue. */
  OVERLOADED(3000, 503, Outcome.NOT_ACCEPTED, "too much waits already"),
  /** A deadline that cannot be met. */
  DEADLINE_HOPELESS(3001, 503, Outcome.NOT_ACCEPTED, "the deadline cannot be met"),
  /** A deadline that passed before dispatch. */
  DEADLINE_PASSED(3002, 504, Outcome.NOT_RUN, "the deadline passed before the dispatch"),
  /** The log cannot record the claim or the job. */
  LOG_UNAVAILABLE(3003, 503, Outcome.NOT_ACCEPTED, "the platform's log is unavailable"),
  /** An entry that is draining or not ready. */
  NOT_READY(3004, 503, Outcome.NOT_ACCEPTED, "this entry takes no new work"),
  /** No upstream accepted the request; it is known not to have started. */
  UPSTREAM_REFUSED(3005, 503, Outcome.NOT_RUN, "no upstream took the request"),
  /** A claim that was not read back from the log in time. */
  CLAIM_UNREAD(3200, 503, Outcome.NOT_ACCEPTED, "the claim's fate is not known in time"),
  /** The maximum number of claims is kept. */
  CLAIMS_FULL(3201, 503, Outcome.NOT_ACCEPTED, "too many claims are kept"),
  /** A claim that another submission held and released. */
  CLAIM_RELEASED(3202, 503, Outcome.NOT_ACCEPTED, "another submission held the claim; ask again"),
  /** An upstream whose answer was incomplete. */
  UPSTREAM_LOST(4000, 502, Outcome.UNKNOWN, "the upstream's answer did not come whole"),
  /** A claimed request whose owner is lost or does not know its outcome. */
  OWNER_GONE(4001, 409, Outcome.UNKNOWN, "the request may have run and will not run again"),
  /** A request that ran and whose answer is no longer available. */
  ANSWER_GONE(4002, 409, Outcome.RAN, "the request ran and its answer is not kept"),
  /** A repeated submission whose deadline passed while the request was in progress. */
  STILL_RUNNING(4200, 504, Outcome.UNKNOWN, "another submission of the request is under way"),
  /** An internal error of lavenderstage. */
  INTERNAL(5000, 500, Outcome.UNKNOWN, "an internal error");

  private final int number;
  private final int status;
  private final Outcome outcome;
  private final String message;

  ResultCode(int number, int status, Outcome outcome, String message) {
    this.number = number;
    this.status = status;
    this.outcome = outcome;
    this.message = message;
  }

  /**
   * Returns the number of the code.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the HTTP status of the code.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the outcome on which the caller may rely.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns the human-readable message.
   *
   * @return the message
   */
  public String message() {
    return message;
  }

  /**
   * Returns the code as it appears in headers and documentation.
   *
   * @return the code, such as {@code LS-1000}
   */
  public String label() {
    return "LS-" + number;
  }
}
