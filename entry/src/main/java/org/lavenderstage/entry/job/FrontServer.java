package org.lavenderstage.entry.job;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRoute;
import org.lavenderstage.core.job.QueueTable;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.platform.CallFormat;
import org.lavenderstage.platform.JobDecoder;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Serves callers, the readiness check and the metrics over HTTP. */
final class FrontServer implements AutoCloseable {
  /** Largest body of a request in bytes; from the operator's limits. */
  private static final long MAX_BODY_BYTES = 262_144;

  /** Time after which an idle connection is closed, in milliseconds; from the operator's limits. */
  private static final long IDLE_MILLIS = 15_000;

  /** Deadline of a caller that names none, in milliseconds. */
  private static final long DEFAULT_DEADLINE_MILLIS = 3_000;

  /**
   * Part of a caller's patience after which it is told what is known, so that it has time to come
   * back, at another entry or when there is an owner again.
   */
  private static final double HELD_PART = 0.45;

  /** The same for a caller that has little patience left and can hardly come back. */
  private static final double LARGEST_HELD_PART = 0.85;

  /** Time that a request needs on a busy day, in milliseconds; some appends to a slow store. */
  private static final long USEFUL_MILLIS = 900;

  /** Advice to callers before the first configuration, in milliseconds. */
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  /** Longest quiet time that a stop waits for, and its end, in milliseconds. */
  private static final Duration QUIET = Duration.ofMillis(50);

  private static final Duration LONGEST_STOP = Duration.ofMillis(700);

  private final NodeSettings settings;
  private final Supplier<Optional<QueueTable>> queues;
  private final CallRouter router;
  private final BooleanSupplier ready;
  private final EntryMetrics metrics;
  private final BooleanSupplier closing;
  private final AtomicLong requests = new AtomicLong();
  private final Server server;

  FrontServer(
      NodeSettings settings,
      EventLoopGroup loops,
      Supplier<Optional<QueueTable>> queues,
      CallRouter router,
      BooleanSupplier ready,
      BooleanSupplier closing,
      EntryMetrics metrics) {
    this.settings = settings;
    this.queues = queues;
    this.router = router;
    this.ready = ready;
    this.closing = closing;
    this.metrics = metrics;
    HttpService service = this::serve;
    server =
        Server.builder()
            .workerGroup(loops, false)
            .http(new InetSocketAddress(settings.ip(), settings.frontPort()))
            .http(new InetSocketAddress(settings.ip(), settings.readyPort()))
            .http(new InetSocketAddress(settings.ip(), settings.metricsPort()))
            .maxRequestLength(MAX_BODY_BYTES)
            .idleTimeoutMillis(IDLE_MILLIS)
            .requestTimeoutMillis(0)
            .gracefulShutdownTimeout(QUIET, LONGEST_STOP)
            .serviceUnder("/", service)
            .build();
  }

  void start() {
    server.start().join();
  }

  private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    int port = context.localAddress().getPort();
    if (port == settings.readyPort()) {
      return HttpResponse.of(ready.getAsBoolean() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    }
    if (port == settings.metricsPort()) {
      return HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, metrics.text());
    }
    long arrived = Time.steadyMillis();
    if (closing.getAsBoolean()) {
      context.mutateAdditionalResponseHeaders(
          headers -> headers.set(HttpHeaderNames.CONNECTION, "close"));
    }
    return HttpResponse.of(
        request
            .aggregate()
            .thenCompose(whole -> answer(whole, arrived))
            .thenApply(CallFormat::response));
  }

  private CompletableFuture<JobAnswer> answer(AggregatedHttpRequest request, long arrived) {
    Optional<QueueTable> table = queues.get();
    if (table.isEmpty()) {
      return CompletableFuture.completedFuture(
          new JobAnswer.Rejected("there is no configuration yet", NOT_READY_RETRY_MILLIS));
    }
    String host = request.authority() == null ? "" : request.authority();
    String path = path(request.path());
    Optional<QueueRoute> route = table.get().find(host, path);
    if (route.isEmpty()) {
      return CompletableFuture.completedFuture(new JobAnswer.UnknownQueue());
    }
    String job = path.substring(route.get().pathPrefix().length());
    Optional<JobVerb> verb = CallFormat.verb(request.method(), job);
    if (verb.isEmpty()) {
      return CompletableFuture.completedFuture(new JobAnswer.Malformed("no such method"));
    }
    String id = job + "/" + settings.vm() + "/" + requests.incrementAndGet();
    long patience = CallFormat.deadlineMillis(request.headers()).orElse(DEFAULT_DEADLINE_MILLIS);
    Optional<JobRecord> submission = Optional.empty();
    if (verb.get() == JobVerb.SUBMIT) {
      try {
        submission =
            Optional.of(
                JobDecoder.decode(
                    job, route.get().rules(), request.content().array(), Time.wallMillis()));
      } catch (MalformedMessageException e) {
        return CompletableFuture.completedFuture(new JobAnswer.Malformed(e.getMessage()));
      }
    }
    JobCall call =
        new JobCall(
            id,
            verb.get(),
            route.get().rules().queue(),
            job,
            submission,
            arrived + heldMillis(patience));
    return router
        .call(call)
        .whenComplete((answer, failure) -> answered(call, answer, table.get(), arrived));
  }

  /** Returns how long a caller of some patience is held at most, in milliseconds. */
  static long heldMillis(long patienceMillis) {
    double least = Math.min(USEFUL_MILLIS, patienceMillis * LARGEST_HELD_PART);
    return Math.round(Math.max(patienceMillis * HELD_PART, least));
  }

  private static String path(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  private void answered(JobCall call, JobAnswer answer, QueueTable table, long arrived) {
    long took = Time.steadyMillis() - arrived;
    metrics.answered(
        call.verb().name().toLowerCase(Locale.ROOT),
        answer.getClass().getSimpleName().toLowerCase(Locale.ROOT),
        took * 1_000_000);
    EventLog.info(
        LogEvent.CALL_ANSWERED,
        "request",
        call.request(),
        "verb",
        call.verb(),
        "queue",
        call.queue(),
        "config",
        table.version(),
        "answer",
        answer,
        "took-ms",
        took);
  }

  /** Stops to listen, answers what is under way, and closes the connections. */
  @Override
  public void close() {
    server.stop().join();
  }
}
