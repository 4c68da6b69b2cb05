package org.lavenderstage.core.outcome;

/** The numbered results that callers see; docs/RESULTS.md has a row for each. */
public enum ResultCode {
  /** The upstream's whole answer. */
  ANSWERED(1000, 200, Outcome.ANSWERED, "the upstream answered"),
  /** The job is in the log. */
  JOB_ACCEPTED(1001, 202, Outcome.ANSWERED, "the job is accepted"),
  /** The job's state. */
  JOB_READ(1002, 200, Outcome.ANSWERED, "the state of the job"),
  /** The job ends. */
  JOB_CANCELLED(1003, 202, Outcome.ANSWERED, "the job will end"),
  /** A malformed request. */
  BAD_REQUEST(2000, 400, Outcome.NOT_ACCEPTED, "the request is malformed"),
  /** A key that is missing or no UUIDv7. */
  BAD_KEY(2001, 400, Outcome.NOT_ACCEPTED, "the Idempotency-Key is missing or no UUIDv7"),
  /** A token that is missing or not the workspace's. */
  BAD_TOKEN(2002, 401, Outcome.NOT_ACCEPTED, "the bearer token is missing or wrong"),
  /** A service that the sheet does not name. */
  UNKNOWN_SERVICE(2003, 404, Outcome.NOT_ACCEPTED, "there is no such service"),
  /** A job that the workspace does not have. */
  UNKNOWN_JOB(2004, 404, Outcome.NOT_ACCEPTED, "there is no such job"),
  /** A body over the limit. */
  BODY_TOO_LARGE(2005, 413, Outcome.NOT_ACCEPTED, "the body is over the limit"),
  /** A key whose own time lies outside the window of kept claims. */
  KEY_EXPIRED(2006, 409, Outcome.NOT_ACCEPTED, "the key is outside the window of kept claims"),
  /** A job whose numbers are negative or missing. */
  BAD_JOB(2100, 400, Outcome.NOT_ACCEPTED, "a number of the job is missing or out of range"),
  /** A batch class that the sheet does not name. */
  UNKNOWN_BATCH_CLASS(2101, 400, Outcome.NOT_ACCEPTED, "there is no such batch class"),
  /** A job that no worker is large enough for. */
  JOB_TOO_LARGE(2102, 400, Outcome.NOT_ACCEPTED, "no worker is large enough for the job"),
  /** A job or cancellation that was handed to the log and not read back in time. */
  JOB_FATE_UNKNOWN(2103, 504, Outcome.UNKNOWN, "the log has not shown the record in time"),
  /** A full ring or queue. */
  OVERLOADED(3000, 503, Outcome.NOT_ACCEPTED, "too much waits already"),
  /** A deadline that cannot be met. */
  DEADLINE_HOPELESS(3001, 503, Outcome.NOT_ACCEPTED, "the deadline cannot be met"),
  /** A deadline that passed before dispatch. */
  DEADLINE_PASSED(3002, 504, Outcome.NOT_RUN, "the deadline passed before the dispatch"),
  /** A log that cannot take the claim or the job. */
  LOG_UNAVAILABLE(3003, 503, Outcome.NOT_ACCEPTED, "the platform's log is unavailable"),
  /** An entry that drains or is not ready. */
  NOT_READY(3004, 503, Outcome.NOT_ACCEPTED, "this entry takes no new work"),
  /** An upstream that surely did not start the request. */
  UPSTREAM_REFUSED(3005, 503, Outcome.NOT_RUN, "no upstream took the request"),
  /** An upstream whose answer did not come whole. */
  UPSTREAM_LOST(4000, 502, Outcome.UNKNOWN, "the upstream's answer did not come whole"),
  /** A claimed request whose owner cannot tell. */
  OWNER_GONE(4001, 409, Outcome.UNKNOWN, "the request may have run and will not run again"),
  /** A request that ran and whose answer is gone. */
  ANSWER_GONE(4002, 409, Outcome.RAN, "the request ran and its answer is not kept"),
  /** A fault of lavenderstage itself. */
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
   * Returns the HTTP status that goes with the code.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns what the caller may rely on.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns the explanation for people.
   *
   * @return the text
   */
  public String message() {
    return message;
  }

  /**
   * Returns the code as it stands in headers and docs.
   *
   * @return the code, such as {@code LS-1000}
   */
  public String label() {
    return "LS-" + number;
  }
}
