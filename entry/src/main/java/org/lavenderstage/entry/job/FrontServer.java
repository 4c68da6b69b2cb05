package org.lavenderstage.entry.job;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.QueueRoute;
import org.lavenderstage.core.job.QueueTable;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.http.Http1Handler;
import org.lavenderstage.http.Http1Request;
import org.lavenderstage.http.Http1Response;
import org.lavenderstage.http.Http1Server;
import org.lavenderstage.http.ServerLimits;
import org.lavenderstage.platform.CallFormat;
import org.lavenderstage.platform.JobDecoder;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Serves callers, the readiness check and the metrics over HTTP. */
final class FrontServer implements AutoCloseable {
  /** Maximum size of a request body in bytes; one of the operator's limits. */
  private static final int MAX_BODY_BYTES = 262_144;

  /** Maximum size of a request's header in bytes; one of the operator's limits. */
  private static final int MAX_HEADER_BYTES = 16_384;

  /** Time within which a header must arrive, in ms; one of the operator's limits. */
  private static final long HEADER_TIMEOUT_MILLIS = 3_000;

  /** Largest ratio of the length of a job's record to that of its submission, roughly. */
  private static final int MAX_RECORD_TO_BODY_RATIO = 16;

  /** Idle time after which a connection is closed, in ms; one of the operator's limits. */
  private static final long IDLE_TIMEOUT_MILLIS = 15_000;

  /** Deadline of a request that does not specify one, in milliseconds. */
  private static final long DEFAULT_DEADLINE_MILLIS = 3_000;

  /**
   * Fraction of a caller's deadline after which it is answered with what is known, so that it has
   * time to retry at another entry, or once there is an owner again.
   */
  private static final double REPLY_FRACTION = 0.45;

  /** The same fraction for a caller with a short deadline, which can hardly retry. */
  private static final double MAX_REPLY_FRACTION = 0.85;

  /** Time that a request needs under load, in milliseconds; several appends to a slow store. */
  private static final long MIN_REPLY_MILLIS = 900;

  /** Time after which callers should retry before there is a configuration, in milliseconds. */
  private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;

  private final NodeSettings settings;
  private final Supplier<Optional<QueueTable>> configuration;
  private final CallRouter router;
  private final BooleanSupplier ready;
  private final EntryMetrics metrics;
  private final BooleanSupplier draining;
  private final AtomicLong requestCount = new AtomicLong();
  private final ClientLimits clients;
  private final Http1Server server;

  FrontServer(
      NodeSettings settings,
      EventLoopGroup loops,
      Supplier<Optional<QueueTable>> configuration,
      CallRouter router,
      BooleanSupplier ready,
      BooleanSupplier draining,
      EntryMetrics metrics,
      ClientLimits clients) {
    this.settings = settings;
    this.configuration = configuration;
    this.router = router;
    this.ready = ready;
    this.draining = draining;
    this.metrics = metrics;
    this.clients = clients;
    ServerLimits limits =
        new ServerLimits(
            MAX_HEADER_BYTES, MAX_BODY_BYTES, HEADER_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS);
    server = new Http1Server(loops, limits, clients.budget());
  }

  void start() {
    server.listen(
        settings.ip(), settings.callerPort(), clients.maxCallerConnections(), this::serve);
    int maxProbes = clients.maxProbeConnections();
    server.listen(settings.ip(), settings.readinessPort(), maxProbes, request -> readiness());
    server.listen(settings.ip(), settings.metricsPort(), maxProbes, request -> metricsText());
  }

  /** Returns the number of callers' requests that named a queue so far. */
  long requestCount() {
    return requestCount.get();
  }

  private CompletableFuture<Http1Handler.Reply> readiness() {
    HttpResponseStatus status =
        ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return CompletableFuture.completedFuture(
        new Http1Handler.Reply(Http1Response.of(status.code()), false));
  }

  private CompletableFuture<Http1Handler.Reply> metricsText() {
    return CompletableFuture.completedFuture(
        new Http1Handler.Reply(
            Http1Response.of(
                HttpResponseStatus.OK.code(), Http1Response.PLAIN_TEXT, metrics.text()),
            false));
  }

  private CompletableFuture<Http1Handler.Reply> serve(Http1Request request) {
    CompletableFuture<JobAnswer> answer;
    try {
      answer = answer(request, Clocks.monotonicMillis());
    } catch (RuntimeException e) {
      EventLog.warn(LogEvent.DUTY_FAILED, "duty", "call", "cause", e);
      throw e;
    }
    return answer.thenApply(
        known -> new Http1Handler.Reply(CallFormat.response(known), draining.getAsBoolean()));
  }

  private CompletableFuture<JobAnswer> answer(Http1Request request, long arrivedAtMillis) {
    Optional<QueueTable> table = configuration.get();
    if (table.isEmpty()) {
      return CompletableFuture.completedFuture(
          new JobAnswer.Rejected("there is no configuration yet", NOT_READY_RETRY_AFTER_MILLIS));
    }
    String host = request.header(HttpHeaderNames.HOST).orElse("");
    String path = request.path();
    Optional<QueueRoute> route = table.get().find(host, path);
    if (route.isEmpty()) {
      return CompletableFuture.completedFuture(new JobAnswer.UnknownQueue());
    }
    String job = path.substring(route.get().pathPrefix().length());
    Optional<JobVerb> verb = CallFormat.verb(request.method(), job);
    if (verb.isEmpty()) {
      return CompletableFuture.completedFuture(new JobAnswer.Malformed("no such method"));
    }
    if (!job.isEmpty() && !CallFormat.isJobIdentifier(job)) {
      return CompletableFuture.completedFuture(
          verb.get() == JobVerb.SUBMIT
              ? new JobAnswer.Malformed("the job has no valid identifier")
              : new JobAnswer.UnknownJob());
    }
    String id = job + "/" + settings.vm() + "/" + requestCount.incrementAndGet();
    long callerDeadlineMillis = CallFormat.deadlineMillis(request).orElse(DEFAULT_DEADLINE_MILLIS);
    Optional<JobRecord> submission = Optional.empty();
    if (verb.get() == JobVerb.SUBMIT) {
      try {
        submission =
            Optional.of(
                JobDecoder.decode(job, route.get().rules(), request.body(), Clocks.wallMillis()));
      } catch (MalformedMessageException e) {
        return CompletableFuture.completedFuture(new JobAnswer.Malformed(e.getMessage()));
      }
      if (isTooLong(
          submission.get(), request.body().length, settings.storeLimits().recordBytes())) {
        return CompletableFuture.completedFuture(
            new JobAnswer.Malformed("the job is too long to be stored"));
      }
    }
    JobCall call =
        new JobCall(
            id,
            verb.get(),
            route.get().rules().queue(),
            job,
            submission,
            arrivedAtMillis + replyTimeoutMillis(callerDeadlineMillis));
    return router
        .call(call)
        .whenComplete(
            (answer, failure) -> recordAnswer(call, answer, table.get(), arrivedAtMillis));
  }

  /**
   * Returns whether a job does not fit into one record of the store.
   *
   * @param bodyBytes length of the request that submits the job
   * @param maxRecordBytes length of the longest record
   */
  static boolean isTooLong(JobRecord job, int bodyBytes, int maxRecordBytes) {
    // Most jobs are short, and encoding them twice would cost more than the check is worth.
    return bodyBytes >= maxRecordBytes / MAX_RECORD_TO_BODY_RATIO
        && new KeyedRecord(StoredChange.put(job).key(), Optional.of(StoredCodec.encode(job)))
                .storedBytes()
            > maxRecordBytes;
  }

  /** Returns how long a caller with the given time to its deadline waits at most for an answer. */
  static long replyTimeoutMillis(long remainingMillis) {
    double minMillis = Math.min(MIN_REPLY_MILLIS, remainingMillis * MAX_REPLY_FRACTION);
    return Math.round(Math.max(remainingMillis * REPLY_FRACTION, minMillis));
  }

  private void recordAnswer(
      JobCall call, JobAnswer answer, QueueTable table, long arrivedAtMillis) {
    long tookMillis = Clocks.monotonicMillis() - arrivedAtMillis;
    metrics.answered(
        call.verb().name().toLowerCase(Locale.ROOT),
        answer.getClass().getSimpleName().toLowerCase(Locale.ROOT),
        tookMillis * 1_000_000);
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
        tookMillis);
  }

  /**
   * Stops listening, and closes each connection once its requests are answered.
   *
   * @param timeoutMillis longest wait for the answers, in milliseconds
   * @return whether all requests are answered
   */
  boolean shutDown(long timeoutMillis) {
    return server.shutDown(timeoutMillis);
  }

  @Override
  public void close() {
    server.close();
  }
}
