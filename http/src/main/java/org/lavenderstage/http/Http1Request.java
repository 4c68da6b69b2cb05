package org.lavenderstage.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * A complete HTTP/1.1 request.
 *
 * @param method method of the request
 * @param target path and query
 * @param headers headers of the request
 * @param body body, empty if there is none; not copied
 */
public record Http1Request(HttpMethod method, String target, HttpHeaders headers, byte[] body) {
  private static final byte[] NO_BODY = new byte[0];

  /**
   * Creates a GET request without headers.
   *
   * @param target path and query
   * @return the request
   */
  public static Http1Request get(String target) {
    return new Http1Request(HttpMethod.GET, target, new DefaultHttpHeaders(), NO_BODY);
  }

  /**
   * Creates a POST request without headers.
   *
   * @param target path and query
   * @param body the body; not copied
   * @return the request
   */
  public static Http1Request post(String target, byte[] body) {
    return new Http1Request(HttpMethod.POST, target, new DefaultHttpHeaders(), body);
  }

  /**
   * Adds a header.
   *
   * @param name name of the header
   * @param value value of the header
   * @return this request
   */
  public Http1Request with(CharSequence name, String value) {
    headers.add(name, value);
    return this;
  }

  /**
   * Returns the value of a header.
   *
   * @param name name of the header, in any case
   * @return the first value, empty if there is none
   */
  public Optional<String> header(CharSequence name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the path, without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
