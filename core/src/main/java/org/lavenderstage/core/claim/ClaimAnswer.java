package org.lavenderstage.core.claim;

import org.lavenderstage.core.outcome.ResultCode;

/**
 * The final answer to one submission of a request.
 *
 * @param code result code, which carries the outcome
 * @param status HTTP status
 * @param contentType media type of the body, empty where lavenderstage itself answers
 * @param body whole body, empty where lavenderstage itself answers
 * @param retryAfterMillis when it makes sense to come back in milliseconds, 0 for no advice
 */
public record ClaimAnswer(
    ResultCode code, int status, String contentType, byte[] body, long retryAfterMillis) {
  private static final long RETRY_AFTER_MILLIS = 1000;

  /**
   * Makes an answer of lavenderstage itself.
   *
   * @param code result code
   * @return the answer, with advice to come back where the submission was not accepted for now
   */
  public static ClaimAnswer of(ResultCode code) {
    return of(code, code.status() == 503 ? RETRY_AFTER_MILLIS : 0);
  }

  /**
   * Makes an answer of lavenderstage itself.
   *
   * @param code result code
   * @param retryAfterMillis when it makes sense to come back in milliseconds, 0 for no advice
   * @return the answer
   */
  public static ClaimAnswer of(ResultCode code, long retryAfterMillis) {
    return new ClaimAnswer(code, code.status(), "", new byte[0], retryAfterMillis);
  }

  /**
   * Makes the answer of an upstream.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body whole body
   * @return the answer
   */
  public static ClaimAnswer upstream(int status, String contentType, byte[] body) {
    return new ClaimAnswer(ResultCode.ANSWERED, status, contentType, body, 0);
  }
}
