package org.lavenderstage.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A complete HTTP/1.1 response.
 *
 * @param status status code
 * @param contentType media type of the body, empty if there is none or it is not known
 * @param retryAfterSeconds value of the Retry-After header, empty if there is none
 * @param body body, empty if there is none; not copied
 */
public record Http1Response(
    int status, Optional<String> contentType, OptionalLong retryAfterSeconds, byte[] body) {
  /** Media type of JSON. */
  public static final String JSON = "application/json";

  /** Media type of plain text. */
  public static final String PLAIN_TEXT = "text/plain; charset=utf-8";

  private static final byte[] NO_BODY = new byte[0];

  /**
   * Creates a response without a body.
   *
   * @param status status code
   * @return the response
   */
  public static Http1Response of(int status) {
    return of(status, NO_BODY);
  }

  /**
   * Creates a response whose media type is not known.
   *
   * @param status status code
   * @param body the body; not copied
   * @return the response
   */
  public static Http1Response of(int status, byte[] body) {
    return new Http1Response(status, Optional.empty(), OptionalLong.empty(), body);
  }

  /**
   * Creates a response with a text.
   *
   * @param status status code
   * @param contentType media type of the text
   * @param text the text, sent in UTF-8
   * @return the response
   */
  public static Http1Response of(int status, String contentType, String text) {
    return new Http1Response(
        status,
        Optional.of(contentType),
        OptionalLong.empty(),
        text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns this response with the time after which the client should retry.
   *
   * @param seconds the time in seconds
   * @return the response with a Retry-After header
   */
  public Http1Response retryAfter(long seconds) {
    return new Http1Response(status, contentType, OptionalLong.of(seconds), body);
  }
}
