package org.lavenderstage.clients;

/** Result of a request to an executor. */
public sealed interface ExecutorResult {
  /**
   * The complete response to this request.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body complete body
   */
  record Answered(int status, String contentType, byte[] body) implements ExecutorResult {}

  /**
   * The request is known not to have started on the executor.
   *
   * @param reason human-readable explanation
   */
  record NotStarted(String reason) implements ExecutorResult {}

  /**
   * No complete response to this request arrived; the request may have run or still run.
   *
   * @param reason human-readable explanation
   */
  record Lost(String reason) implements ExecutorResult {}
}
