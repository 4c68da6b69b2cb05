package org.lavenderstage.entry.request;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.clients.Headers;
import org.lavenderstage.core.ledger.claim.ClaimWindow;
import org.lavenderstage.core.ledger.claim.KeyTime;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.sheet.ServiceRow;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.entry.config.Configuration;
import org.lavenderstage.entry.dispatch.DispatchRequest;
import org.lavenderstage.entry.dispatch.DispatchResult;
import org.lavenderstage.entry.dispatch.Dispatcher;
import org.lavenderstage.entry.dispatch.RequestPriority;
import org.lavenderstage.wire.settings.EntrySettings;

/** Serves {@code POST /v1/workspaces/{workspace}/services/{service}/requests}. */
public final class RequestService implements HttpService {
  private static final long RETRY_AFTER_MILLIS = 1000;
  private static final String NO_SERVICE = "none";

  private final EntrySettings settings;
  private final Configuration configuration;
  private final ClaimGateway claimGateway;
  private final ClaimWindow window;
  private final LongSupplier logMillis;
  private final Dispatcher dispatcher;
  private final EntryMetrics metrics;
  private final BooleanSupplier accepting;

  /**
   * Creates the service.
   *
   * @param settings limits and waiting times
   * @param configuration provides the sheet in force
   * @param claimGateway claims and dispatches non-idempotent requests
   * @param window accepted difference between a key's time and the log's time
   * @param logMillis returns an estimate of the log's time in milliseconds since 1970
   * @param dispatcher dispatches requests to executors
   * @param metrics records each answer
   * @param accepting returns whether this entry accepts new work
   */
  public RequestService(
      EntrySettings settings,
      Configuration configuration,
      ClaimGateway claimGateway,
      ClaimWindow window,
      LongSupplier logMillis,
      Dispatcher dispatcher,
      EntryMetrics metrics,
      BooleanSupplier accepting) {
    this.settings = settings;
    this.configuration = configuration;
    this.claimGateway = claimGateway;
    this.window = window;
    this.logMillis = logMillis;
    this.dispatcher = dispatcher;
    this.metrics = metrics;
    this.accepting = accepting;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    long arrivedNanos = System.nanoTime();
    String workspace = Optional.ofNullable(context.pathParam("workspace")).orElse("");
    String service = Optional.ofNullable(context.pathParam("service")).orElse("");
    Sheet sheet = configuration.inForce().sheet();
    Optional<CallerAnswer> rejection = rejection(sheet, workspace, request.headers());
    Optional<ServiceRow> row = sheet.service(service);
    CompletableFuture<CallerAnswer> answer;
    if (rejection.isPresent()) {
      answer = completed(rejection.get());
    } else if (row.isEmpty()) {
      answer = completed(CallerAnswer.of(ResultCode.UNKNOWN_SERVICE, 0));
    } else {
      answer =
          request
              .aggregate()
              .thenCompose(aggregated -> answer(workspace, row.get(), aggregated, arrivedNanos))
              .exceptionally(failure -> CallerAnswer.of(CallerErrorHandler.code(failure), 0));
    }
    String label = row.map(ServiceRow::name).orElse(NO_SERVICE);
    return HttpResponse.of(
        answer.thenApply(finalAnswer -> finish(finalAnswer, label, arrivedNanos)));
  }

  private HttpResponse finish(CallerAnswer answer, String service, long arrivedNanos) {
    String outcome = answer.code().outcome().header();
    metrics.answered(service, outcome, System.nanoTime() - arrivedNanos);
    return answer.toResponse();
  }

  private Optional<CallerAnswer> rejection(Sheet sheet, String workspace, RequestHeaders headers) {
    if (headers.method() != HttpMethod.POST) {
      return Optional.of(CallerAnswer.of(ResultCode.METHOD_NOT_ALLOWED, 0));
    }
    if (!accepting.getAsBoolean()) {
      return Optional.of(CallerAnswer.of(ResultCode.NOT_READY, RETRY_AFTER_MILLIS));
    }
    String authorization = headers.get("authorization", "");
    if (Authenticator.authenticate(sheet, workspace, authorization).isEmpty()) {
      return Optional.of(CallerAnswer.of(ResultCode.BAD_TOKEN, 0));
    }
    return Optional.empty();
  }

  private CompletableFuture<CallerAnswer> answer(
      String workspace, ServiceRow row, AggregatedHttpRequest request, long arrivedNanos) {
    if (request.content().length() > settings.bodyLimitBytes()) {
      return completed(CallerAnswer.of(ResultCode.BODY_TOO_LARGE, 0));
    }
    OptionalLong timeout = timeoutMillis(request, row);
    if (timeout.isEmpty()) {
      return completed(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
    }
    long deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(timeout.getAsLong());
    if (row.idempotent()) {
      ExecutorRequest outgoing = executorRequest(workspace, row.name(), "", request);
      return dispatch(outgoing, priority(outgoing, row, request), deadlineNanos)
          .thenApply(RequestService::toAnswer);
    }
    return claimThenDispatch(workspace, row, request, arrivedNanos, deadlineNanos);
  }

  private OptionalLong timeoutMillis(AggregatedHttpRequest request, ServiceRow row) {
    String header = request.headers().get(Headers.TIMEOUT_MILLIS, "");
    if (header.isEmpty()) {
      return OptionalLong.of(row.timeoutMillis());
    }
    try {
      long requestedMillis = Long.parseLong(header);
      return requestedMillis > 0
          ? OptionalLong.of(Math.min(requestedMillis, row.timeoutMillis()))
          : OptionalLong.empty();
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private CompletableFuture<CallerAnswer> claimThenDispatch(
      String workspace,
      ServiceRow row,
      AggregatedHttpRequest request,
      long arrivedNanos,
      long deadlineNanos) {
    Optional<String> key = KeyTime.canonical(request.headers().get(Headers.IDEMPOTENCY_KEY, ""));
    if (key.isEmpty()) {
      return completed(CallerAnswer.of(ResultCode.BAD_KEY, 0));
    }
    long keyMillis = KeyTime.millis(key.get()).orElseThrow();
    if (!window.accepts(keyMillis, logMillis.getAsLong())) {
      return completed(CallerAnswer.of(ResultCode.KEY_EXPIRED, 0));
    }
    ExecutorRequest outgoing = executorRequest(workspace, row.name(), key.get(), request);
    return claimGateway
        .submit(
            new RequestKey(workspace, key.get()),
            arrivedNanos,
            deadlineNanos,
            new ClaimedWork(outgoing, priority(outgoing, row, request)))
        .thenApply(CallerAnswer::of);
  }

  private RequestPriority priority(
      ExecutorRequest outgoing, ServiceRow row, AggregatedHttpRequest request) {
    Optional<WorkspaceRow> workspace =
        configuration.inForce().sheet().workspace(outgoing.workspace());
    return new RequestPriority(
        workspace.map(WorkspaceRow::rank).orElse(row.rank()),
        workspace.map(WorkspaceRow::share).orElse(1),
        request.headers().contains(Headers.RETURNING));
  }

  private CompletableFuture<DispatchResult> dispatch(
      ExecutorRequest outgoing, RequestPriority requestPriority, long deadlineNanos) {
    CompletableFuture<DispatchResult> result = new CompletableFuture<>();
    dispatcher.submit(
        new DispatchRequest(outgoing, requestPriority, true, deadlineNanos, () -> true, result));
    return result;
  }

  private static CallerAnswer toAnswer(DispatchResult result) {
    return switch (result) {
      case DispatchResult.Answered answered -> upstream(answered.answer());
      case DispatchResult.NotRun notRun ->
          CallerAnswer.of(notRun.code(), notRun.retryAfterMillis());
      case DispatchResult.Lost lost -> CallerAnswer.of(ResultCode.UPSTREAM_LOST, 0);
    };
  }

  private static CallerAnswer upstream(ExecutorResult.Answered answer) {
    return new CallerAnswer(
        ResultCode.ANSWERED, answer.status(), answer.contentType(), answer.body(), 0);
  }

  private static ExecutorRequest executorRequest(
      String workspace, String service, String key, AggregatedHttpRequest request) {
    String contentType = request.headers().get("content-type", "application/octet-stream");
    return new ExecutorRequest(
        UUID.randomUUID().toString(),
        workspace,
        service,
        key,
        contentType,
        request.content().array());
  }

  private static CompletableFuture<CallerAnswer> completed(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
