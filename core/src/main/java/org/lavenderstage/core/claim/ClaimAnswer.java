package org.lavenderstage.core.claim;

import org.lavenderstage.core.outcome.ResultCode;

/**
 * The final answer to one submission of a request.
 *
 * @param code result code, which carries the outcome
 * @param status HTTP status
 * @param contentType media type of the body, empty where lavenderstage itself answers
 * @param body complete body, empty where lavenderstage itself answers
 * @param retryAfterMillis time after which the caller should retry in milliseconds, 0 for no
 *     retry-after hint
 */
public record ClaimAnswer(
    ResultCode code, int status, String contentType, byte[] body, long retryAfterMillis) {
  private static final long RETRY_AFTER_MILLIS = 1000;

  /**
   * Creates an answer of lavenderstage itself.
   *
   * @param code result code
   * @return the answer, with a retry-after hint where the HTTP status is 503
   */
  public static ClaimAnswer of(ResultCode code) {
    return of(code, code.status() == 503 ? RETRY_AFTER_MILLIS : 0);
  }

  /**
   * Creates an answer of lavenderstage itself.
   *
   * @param code result code
   * @param retryAfterMillis time after which the caller should retry in milliseconds, 0 for no
   *     retry-after hint
   * @return the answer
   */
  public static ClaimAnswer of(ResultCode code, long retryAfterMillis) {
    return new ClaimAnswer(code, code.status(), "", new byte[0], retryAfterMillis);
  }

  /**
   * Creates an answer from the response of an upstream.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body complete body
   * @return the answer
   */
  public static ClaimAnswer upstream(int status, String contentType, byte[] body) {
    return new ClaimAnswer(ResultCode.ANSWERED, status, contentType, body, 0);
  }
}
