package org.lavenderstage.clients.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.lavenderstage.clients.ExecutorClient;
import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.clients.Headers;

/**
 * Sends requests to executors over HTTP/1.1. Each call has a unique id. A response is accepted only
 * if it echoes that id and its body has the length given by content-length; anything else is lost,
 * so that a mismatched, late, duplicate or truncated response never reaches a caller. A rejection
 * counts as not started under the same conditions, since a mismatched one says nothing about this
 * request.
 */
public final class HttpExecutorClient implements ExecutorClient, AutoCloseable {
  private static final String EXECUTE_PATH = "/execute";
  private static final long UNKNOWN_LENGTH = -1;

  private final long bodyLimitBytes;
  private final ClientFactory sharedFactory = newFactory();
  private final AtomicLong lastCallNumber = new AtomicLong();
  private final Map<String, ExecutorConnections> executors = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param bodyLimitBytes maximum size of a response body in bytes
   */
  public HttpExecutorClient(long bodyLimitBytes) {
    this.bodyLimitBytes = bodyLimitBytes;
  }

  @Override
  public CompletableFuture<ExecutorResult> execute(
      String address, ExecutorRequest request, Duration timeout) {
    if (timeout.isNegative() || timeout.isZero()) {
      return CompletableFuture.completedFuture(
          new ExecutorResult.NotStarted("timeout passed before the request was sent"));
    }
    String callId = request.id() + "." + lastCallNumber.incrementAndGet();
    ExecutorConnections connections = acquire(address);
    AtomicReference<ResponseHeaders> responseHeaders = new AtomicReference<>();
    HttpResponse response =
        connections
            .client()
            .execute(
                HttpRequest.of(headers(request, callId), HttpData.wrap(request.body())),
                RequestOptions.builder().responseTimeout(timeout).build());
    // The connection can be reused only after the event loop's task that completes the response has
    // ended. A result that is delivered earlier, or by another thread, would make the caller's next
    // call open a second connection.
    EventExecutor eventLoop = response.defaultSubscriberExecutor();
    return response
        .peekHeaders(responseHeaders::set)
        .aggregate(eventLoop)
        .handleAsync(
            (aggregated, failure) -> {
              CallOutcome outcome = classify(callId, responseHeaders.get(), aggregated, failure);
              if (outcome.mismatched()) {
                replace(address, connections);
              }
              connections.release();
              return outcome.result();
            },
            eventLoop);
  }

  private ExecutorConnections acquire(String address) {
    while (true) {
      ExecutorConnections connections =
          executors.computeIfAbsent(
              address, key -> new ExecutorConnections(key, bodyLimitBytes, sharedFactory, true));
      if (connections.acquire()) {
        return connections;
      }
      executors.remove(address, connections);
    }
  }

  /** Replaces connections on which a response to another request arrived. */
  private void replace(String address, ExecutorConnections mismatchedConnections) {
    executors.computeIfPresent(
        address,
        (key, current) -> current == mismatchedConnections ? dedicatedConnections(key) : current);
    mismatchedConnections.retire();
  }

  private ExecutorConnections dedicatedConnections(String address) {
    return new ExecutorConnections(address, bodyLimitBytes, newFactory(), false);
  }

  private static ClientFactory newFactory() {
    return ClientFactory.builder().workerGroup(CommonPools.workerGroup(), false).build();
  }

  private static RequestHeaders headers(ExecutorRequest request, String callId) {
    return RequestHeaders.builder(HttpMethod.POST, EXECUTE_PATH)
        .add(Headers.REQUEST_ID, callId)
        .add(Headers.WORKSPACE, request.workspace())
        .add(Headers.SERVICE, request.service())
        .add(Headers.IDEMPOTENCY_KEY, request.key())
        .add("content-type", request.contentType())
        .build();
  }

  private static CallOutcome classify(
      String callId,
      ResponseHeaders responseHeaders,
      AggregatedHttpResponse aggregated,
      Throwable failure) {
    if (failure != null) {
      return new CallOutcome(failureResult(failure), false);
    }
    if (responseHeaders == null || !callId.equals(responseHeaders.get(Headers.REQUEST_ID))) {
      return new CallOutcome(
          new ExecutorResult.Lost("response does not echo the id of the request"), true);
    }
    long expected = responseHeaders.contentLength();
    if (expected == UNKNOWN_LENGTH || expected != aggregated.content().length()) {
      return new CallOutcome(
          new ExecutorResult.Lost("response is truncated or has no content-length"), false);
    }
    if (responseHeaders.status().equals(HttpStatus.SERVICE_UNAVAILABLE)) {
      return new CallOutcome(new ExecutorResult.NotStarted("status 503"), false);
    }
    String contentType =
        Optional.ofNullable(responseHeaders.get("content-type")).orElse("application/octet-stream");
    return new CallOutcome(
        new ExecutorResult.Answered(
            responseHeaders.status().code(), contentType, aggregated.content().array()),
        false);
  }

  private static ExecutorResult failureResult(Throwable failure) {
    Optional<Throwable> cause = Optional.of(failure);
    while (cause.isPresent()) {
      if (cause.get() instanceof UnprocessedRequestException) {
        return new ExecutorResult.NotStarted("no connection to the executor");
      }
      cause = Optional.ofNullable(cause.get().getCause());
    }
    return new ExecutorResult.Lost(failure.getClass().getSimpleName());
  }

  @Override
  public void close() {
    executors.values().forEach(ExecutorConnections::retire);
    CompletableFuture<?> unused = sharedFactory.closeAsync();
  }

  /** Result of a call, and whether its connections may carry responses to other requests. */
  private record CallOutcome(ExecutorResult result, boolean mismatched) {}
}
