package org.lavenderstage.core.outcome;

/** What a caller may rely on after it has received an answer. */
public enum Outcome {
  /** The answer is complete and belongs to this request. */
  ANSWERED("answered"),
  /** The request has not run so far. */
  NOT_RUN("not-run"),
  /** This submission ran nothing and never will. */
  NOT_ACCEPTED("not-accepted"),
  /** The request ran; its answer is no longer available. */
  RAN("ran"),
  /** The request may have run; it will not run again. */
  UNKNOWN("unknown");

  private final String header;

  Outcome(String header) {
    this.header = header;
  }

  /**
   * Returns the value of the outcome header for this outcome.
   *
   * @return the value
   */
  public String header() {
    return header;
  }
}
