package org.lavenderstage.entry.dispatch;

import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.core.outcome.ResultCode;

/** The result of a request that was submitted to the dispatcher. */
public sealed interface DispatchResult {
  /**
   * The upstream answered completely.
   *
   * @param answer the upstream's answer
   */
  record Answered(ExecutorResult.Answered answer) implements DispatchResult {}

  /**
   * The request did not run: it was never dispatched, or is known not to have started.
   *
   * @param code why the request did not run
   * @param retryAfterMillis delay after which the caller should retry, in milliseconds
   */
  record NotRun(ResultCode code, long retryAfterMillis) implements DispatchResult {}

  /**
   * The request may have run, but no complete answer arrived.
   *
   * @param reason explanation in plain text
   */
  record Lost(String reason) implements DispatchResult {}
}
