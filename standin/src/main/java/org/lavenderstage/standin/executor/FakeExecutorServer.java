package org.lavenderstage.standin.executor;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.lavenderstage.clients.Headers;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.standin.FakeServer;
import org.lavenderstage.standin.fault.FaultInjector;
import org.lavenderstage.standin.fault.FaultSwitch;

/**
 * Executor with a fixed number of slots. Its responses contain the workspace and the digest of the
 * request's body, so that a caller can check that a response is complete and belongs to its
 * request.
 */
public final class FakeExecutorServer implements AutoCloseable {
  private final int slots;
  private final int serviceMillis;
  private final RunLedger runs;
  private final FaultSwitch faults;
  private final FaultInjector faultInjector;
  private final FakeServer server;
  private final AtomicInteger busy = new AtomicInteger();
  private final LongAdder started = new LongAdder();
  private final LongAdder overLimit = new LongAdder();

  /**
   * Starts the server.
   *
   * @param port port to listen on, 0 for any free port
   * @param slots maximum number of concurrent requests
   * @param serviceMillis service time of a request, in milliseconds
   * @param runs counts the runs of each idempotency key
   * @param faults faults to inject
   * @param seed seed that selects the calls into which faults are injected
   */
  public FakeExecutorServer(
      int port, int slots, int serviceMillis, RunLedger runs, FaultSwitch faults, long seed) {
    this.slots = slots;
    this.serviceMillis = serviceMillis;
    this.runs = runs;
    this.faults = faults;
    this.faultInjector = new FaultInjector(faults, seed);
    this.server =
        FakeServer.start(FakeServer.builder(port, faults).service("/execute", this::execute));
  }

  private HttpResponse execute(ServiceRequestContext context, HttpRequest request) {
    return HttpResponse.of(
        request.aggregate().thenApply(aggregated -> execute(context, aggregated)));
  }

  private HttpResponse execute(ServiceRequestContext context, AggregatedHttpRequest request) {
    if (faults.isOn(FaultSwitch.Kind.DOWN) || faults.isOn(FaultSwitch.Kind.FAIL_ALL)) {
      return rejection(request);
    }
    if (busy.incrementAndGet() > slots) {
      overLimit.increment();
      busy.decrementAndGet();
      return rejection(request);
    }
    started.increment();
    runs.started(header(request, Headers.WORKSPACE), header(request, Headers.IDEMPOTENCY_KEY));
    Duration delay = Duration.ofMillis(serviceMillis + faults.value(FaultSwitch.Kind.SLOW));
    HttpResponse answer = answer(request);
    return HttpResponse.delayed(
        () -> {
          busy.decrementAndGet();
          return answer;
        },
        delay,
        context.eventLoop());
  }

  private static HttpResponse rejection(AggregatedHttpRequest request) {
    ResponseHeaders headers =
        ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
            .add(Headers.REQUEST_ID, header(request, Headers.REQUEST_ID))
            .contentLength(0)
            .build();
    return HttpResponse.of(headers);
  }

  private HttpResponse answer(AggregatedHttpRequest request) {
    String body = answerBody(header(request, Headers.WORKSPACE), request.content().array());
    String id = header(request, Headers.REQUEST_ID);
    if (faultInjector.shouldInject(FaultSwitch.Kind.LOSE_ANSWERS)) {
      return HttpResponse.ofFailure(
          new IllegalStateException("injected fault: the response is lost"));
    }
    if (faultInjector.shouldInject(FaultSwitch.Kind.CROSS_ANSWERS)) {
      id = "crossed-" + id;
    }
    ResponseHeaders headers =
        ResponseHeaders.builder(HttpStatus.OK)
            .add("content-type", "text/plain; charset=utf-8")
            .add(Headers.REQUEST_ID, id)
            .contentLength(body.length())
            .build();
    if (faultInjector.shouldInject(FaultSwitch.Kind.CUT_ANSWERS)) {
      return truncated(headers, body);
    }
    return HttpResponse.of(headers, HttpData.ofUtf8(body));
  }

  private static HttpResponse truncated(ResponseHeaders headers, String body) {
    var streaming = HttpResponse.streaming();
    streaming.write(headers);
    streaming.write(HttpData.ofUtf8(body.substring(0, body.length() / 2)));
    streaming.close(new IllegalStateException("injected fault: the response is truncated"));
    return streaming;
  }

  /**
   * Returns the body of the correct response to a request.
   *
   * @param workspace workspace of the caller
   * @param requestBody body of the request
   * @return the body of the response
   */
  public static String answerBody(String workspace, byte[] requestBody) {
    String text = new String(requestBody, StandardCharsets.UTF_8);
    return "workspace=" + workspace + " digest=" + StateDigest.sha256Hex(text);
  }

  private static String header(AggregatedHttpRequest request, String name) {
    return request.headers().get(name, "");
  }

  /**
   * Returns the counters of the executor.
   *
   * @return the counters
   */
  public ExecutorRecord record() {
    return new ExecutorRecord(started.sum(), overLimit.sum());
  }

  /**
   * Returns the address at which the server listens.
   *
   * @return host and port
   */
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }
}
