package org.lavenderstage.http;

import java.util.concurrent.CompletableFuture;

/** Handles the requests to a port of a server. */
@FunctionalInterface
public interface Http1Handler {
  /**
   * Handles a request. Must not block, since the event loop serves other connections meanwhile.
   *
   * @param request the request
   * @return the response; a failed future is answered with status 500
   */
  CompletableFuture<Reply> handle(Http1Request request);

  /**
   * A response and what becomes of the connection.
   *
   * @param response the response
   * @param last whether the connection is closed after the response
   */
  record Reply(Http1Response response, boolean last) {}
}
