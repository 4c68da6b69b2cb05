package org.lavenderstage.core.claim;

import org.lavenderstage.core.outcome.ResultCode;

/** The result of a submission that was passed to the dispatcher. */
public sealed interface ClaimResult {
  /**
   * The upstream's complete answer.
   *
   * @param answer the answer
   */
  record Answered(ClaimAnswer answer) implements ClaimResult {}

  /**
   * The request was never dispatched, or is known not to have started.
   *
   * @param code the reason
   * @param retryAfterMillis time after which the caller should retry in milliseconds, 0 for no
   *     retry-after hint
   */
  record NotRun(ResultCode code, long retryAfterMillis) implements ClaimResult {}

  /** No complete answer arrived; the request may have run. */
  record Lost() implements ClaimResult {}
}
