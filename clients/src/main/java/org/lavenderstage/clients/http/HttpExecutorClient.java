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
 * Requests to executors over HTTP/1.1. Each call carries a number of its own. An answer counts only
 * when it echoes that number and is as long as its content-length says; anything else is lost, so
 * that a crossed, late, doubled or cut answer never reaches a caller. A refusal counts as not
 * started under the same conditions, since a crossed one says nothing of this request.
 */
public final class HttpExecutorClient implements ExecutorClient, AutoCloseable {
  private static final String PATH = "/execute";
  private static final long NO_LENGTH = -1;

  private final long bodyLimitBytes;
  private final ClientFactory shared = newFactory();
  private final AtomicLong lastCall = new AtomicLong();
  private final Map<String, ExecutorConnections> executors = new ConcurrentHashMap<>();

  /**
   * Makes a client.
   *
   * @param bodyLimitBytes largest answer in bytes
   */
  public HttpExecutorClient(long bodyLimitBytes) {
    this.bodyLimitBytes = bodyLimitBytes;
  }

  @Override
  public CompletableFuture<ExecutorResult> execute(
      String address, ExecutorRequest request, Duration timeout) {
    if (timeout.isNegative() || timeout.isZero()) {
      return CompletableFuture.completedFuture(new ExecutorResult.NotStarted("no time is left"));
    }
    String id = request.id() + "." + lastCall.incrementAndGet();
    ExecutorConnections connections = enter(address);
    AtomicReference<ResponseHeaders> head = new AtomicReference<>();
    HttpResponse response =
        connections
            .client()
            .execute(
                HttpRequest.of(headers(request, id), HttpData.wrap(request.body())),
                RequestOptions.builder().responseTimeout(timeout).build());
    // The connection is free for the next call once the loop's task that completes the response
    // has ended; a result handed on earlier, or by another thread, would open a second one.
    EventExecutor loop = response.defaultSubscriberExecutor();
    return response
        .peekHeaders(head::set)
        .aggregate(loop)
        .handleAsync(
            (whole, failure) -> {
              Judgement judgement = judge(id, head.get(), whole, failure);
              if (judgement.crossed()) {
                renew(address, connections);
              }
              connections.leave();
              return judgement.result();
            },
            loop);
  }

  private ExecutorConnections enter(String address) {
    while (true) {
      ExecutorConnections connections =
          executors.computeIfAbsent(
              address, key -> new ExecutorConnections(key, bodyLimitBytes, shared, true));
      if (connections.enter()) {
        return connections;
      }
      executors.remove(address, connections);
    }
  }

  /** Puts new connections in the place of those that gave an answer of another request. */
  private void renew(String address, ExecutorConnections crossed) {
    executors.computeIfPresent(
        address, (key, current) -> current == crossed ? ownConnections(key) : current);
    crossed.retire();
  }

  private ExecutorConnections ownConnections(String address) {
    return new ExecutorConnections(address, bodyLimitBytes, newFactory(), false);
  }

  private static ClientFactory newFactory() {
    return ClientFactory.builder().workerGroup(CommonPools.workerGroup(), false).build();
  }

  private static RequestHeaders headers(ExecutorRequest request, String id) {
    return RequestHeaders.builder(HttpMethod.POST, PATH)
        .add(Headers.REQUEST_ID, id)
        .add(Headers.WORKSPACE, request.workspace())
        .add(Headers.SERVICE, request.service())
        .add(Headers.IDEMPOTENCY_KEY, request.key())
        .add("content-type", request.contentType())
        .build();
  }

  private static Judgement judge(
      String id, ResponseHeaders head, AggregatedHttpResponse whole, Throwable failure) {
    if (failure != null) {
      return new Judgement(failed(failure), false);
    }
    if (head == null || !id.equals(head.get(Headers.REQUEST_ID))) {
      return new Judgement(new ExecutorResult.Lost("the answer belongs to another request"), true);
    }
    long expected = head.contentLength();
    if (expected == NO_LENGTH || expected != whole.content().length()) {
      return new Judgement(new ExecutorResult.Lost("the answer is not surely whole"), false);
    }
    if (head.status().equals(HttpStatus.SERVICE_UNAVAILABLE)) {
      return new Judgement(new ExecutorResult.NotStarted("status 503"), false);
    }
    String contentType =
        Optional.ofNullable(head.get("content-type")).orElse("application/octet-stream");
    return new Judgement(
        new ExecutorResult.Answered(head.status().code(), contentType, whole.content().array()),
        false);
  }

  private static ExecutorResult failed(Throwable failure) {
    Optional<Throwable> cause = Optional.of(failure);
    while (cause.isPresent()) {
      if (cause.get() instanceof UnprocessedRequestException) {
        return new ExecutorResult.NotStarted("no connection");
      }
      cause = Optional.ofNullable(cause.get().getCause());
    }
    return new ExecutorResult.Lost(failure.getClass().getSimpleName());
  }

  @Override
  public void close() {
    executors.values().forEach(ExecutorConnections::retire);
    CompletableFuture<?> unused = shared.closeAsync();
  }

  /** What came of a call, and whether its connections may hold answers of other requests. */
  private record Judgement(ExecutorResult result, boolean crossed) {}
}
