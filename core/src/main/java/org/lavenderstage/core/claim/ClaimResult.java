package org.lavenderstage.core.claim;

import org.lavenderstage.core.outcome.ResultCode;

/** What came of a submission that was handed to the dispatcher. */
public sealed interface ClaimResult {
  /**
   * The upstream's whole answer.
   *
   * @param answer the answer
   */
  record Answered(ClaimAnswer answer) implements ClaimResult {}

  /**
   * It was never dispatched, or surely not started.
   *
   * @param code why
   * @param retryAfterMillis when it makes sense to come back in milliseconds, 0 for no advice
   */
  record NotRun(ResultCode code, long retryAfterMillis) implements ClaimResult {}

  /** It may have run. */
  record Lost() implements ClaimResult {}
}
