package org.lavenderstage.clients;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends requests to the executors of a service. */
@FunctionalInterface
public interface ExecutorClient {
  /**
   * Sends a request.
   *
   * @param address host and port of the executor
   * @param request request to send
   * @param timeout maximum time to wait for the complete response
   * @return future of the result; never completes exceptionally
   */
  CompletableFuture<ExecutorResult> execute(
      String address, ExecutorRequest request, Duration timeout);
}
