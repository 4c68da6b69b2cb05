package org.lavenderstage.core.outcome;

/** What a caller may rely on after an answer. */
public enum Outcome {
  /** The whole answer to this request. */
  ANSWERED("answered"),
  /** The request has not run so far. */
  NOT_RUN("not-run"),
  /** This submission ran nothing and never will. */
  NOT_ACCEPTED("not-accepted"),
  /** It ran; its answer is not kept any more. */
  RAN("ran"),
  /** It may have run; it will not run again. */
  UNKNOWN("unknown");

  private final String header;

  Outcome(String header) {
    this.header = header;
  }

  /**
   * Returns the value of the outcome header.
   *
   * @return the value
   */
  public String header() {
    return header;
  }
}
