package org.lavenderstage.entry.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import org.lavenderstage.clients.Headers;
import org.lavenderstage.core.claim.ClaimAnswer;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.http.ResultBody;

/**
 * The final answer to a caller.
 *
 * @param code result code
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body complete body
 * @param retryAfterMillis time after which a retry makes sense in milliseconds, 0 for no hint
 */
public record CallerAnswer(
    ResultCode code, int status, String contentType, byte[] body, long retryAfterMillis) {
  private static final String JSON = "application/json; charset=utf-8";
  private static final long MILLIS_PER_SECOND = 1000;

  /**
   * Creates an answer of lavenderstage itself.
   *
   * @param code result code
   * @param retryAfterMillis time after which a retry makes sense in milliseconds, 0 for no hint
   * @return the answer
   */
  public static CallerAnswer of(ResultCode code, long retryAfterMillis) {
    ResultBody body = new ResultBody(code.label(), code.outcome().header(), code.message());
    return new CallerAnswer(code, code.status(), JSON, JsonCodec.encode(body), retryAfterMillis);
  }

  /**
   * Creates an answer whose body is a schema message.
   *
   * @param code result code
   * @param message schema message, encoded as JSON
   * @return the answer
   */
  public static CallerAnswer json(ResultCode code, Object message) {
    return new CallerAnswer(code, code.status(), JSON, JsonCodec.encode(message), 0);
  }

  /**
   * Creates an answer from the result of a claim.
   *
   * @param answer the final answer; its body is empty if lavenderstage itself answers
   * @return the answer
   */
  public static CallerAnswer of(ClaimAnswer answer) {
    if (answer.code() != ResultCode.ANSWERED) {
      return of(answer.code(), answer.retryAfterMillis());
    }
    return new CallerAnswer(
        answer.code(),
        answer.status(),
        answer.contentType(),
        answer.body(),
        answer.retryAfterMillis());
  }

  /**
   * Converts the answer to an HTTP response.
   *
   * @return the response with its outcome headers
   */
  public HttpResponse toResponse() {
    return toAggregated().toHttpResponse();
  }

  /**
   * Converts the answer to an aggregated HTTP response.
   *
   * @return the response with its outcome headers
   */
  public AggregatedHttpResponse toAggregated() {
    ResponseHeadersBuilder headers =
        ResponseHeaders.builder(HttpStatus.valueOf(status))
            .add("content-type", contentType)
            .add(Headers.OUTCOME, code.outcome().header())
            .add(Headers.CODE, code.label());
    if (retryAfterMillis > 0) {
      long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.addLong("retry-after", seconds);
    }
    return AggregatedHttpResponse.of(headers.build(), HttpData.wrap(body));
  }
}
