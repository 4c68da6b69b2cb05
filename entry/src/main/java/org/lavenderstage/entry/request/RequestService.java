package org.lavenderstage.entry.request;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.KeyTime;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.sheet.ServiceRow;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;
import org.lavenderstage.entry.config.Configuration;
import org.lavenderstage.entry.dispatch.DispatchRequest;
import org.lavenderstage.entry.dispatch.DispatchResult;
import org.lavenderstage.entry.dispatch.Dispatcher;
import org.lavenderstage.platform.ExecutorRequest;
import org.lavenderstage.platform.ExecutorResult;
import org.lavenderstage.platform.Headers;
import org.lavenderstage.wire.settings.EntrySettings;

/** Serves {@code POST /v1/workspaces/{workspace}/services/{service}/requests}. */
public final class RequestService implements HttpService {
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final EntrySettings settings;
  private final Configuration configuration;
  private final ClaimCoordinator claims;
  private final Dispatcher dispatcher;
  private final BooleanSupplier accepting;

  /**
   * Makes the service.
   *
   * @param settings limits and times
   * @param configuration the sheet in force
   * @param claims claims non-idempotent requests
   * @param dispatcher sends requests to executors
   * @param accepting whether this entry takes new work
   */
  public RequestService(
      EntrySettings settings,
      Configuration configuration,
      ClaimCoordinator claims,
      Dispatcher dispatcher,
      BooleanSupplier accepting) {
    this.settings = settings;
    this.configuration = configuration;
    this.claims = claims;
    this.dispatcher = dispatcher;
    this.accepting = accepting;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    long arrivedNanos = System.nanoTime();
    String workspace = Optional.ofNullable(context.pathParam("workspace")).orElse("");
    String service = Optional.ofNullable(context.pathParam("service")).orElse("");
    return HttpResponse.of(
        request
            .aggregate()
            .thenCompose(whole -> answer(workspace, service, whole, arrivedNanos))
            .exceptionally(failure -> CallerAnswer.of(ResultCode.INTERNAL, 0))
            .thenApply(CallerAnswer::toResponse));
  }

  private CompletableFuture<CallerAnswer> answer(
      String workspace, String service, AggregatedHttpRequest request, long arrivedNanos) {
    Sheet sheet = configuration.inForce().sheet();
    if (!accepting.getAsBoolean()) {
      return done(CallerAnswer.of(ResultCode.NOT_READY, RETRY_AFTER_MILLIS));
    }
    String authorization = request.headers().get("authorization", "");
    if (Authenticator.authenticate(sheet, workspace, authorization).isEmpty()) {
      return done(CallerAnswer.of(ResultCode.BAD_TOKEN, 0));
    }
    Optional<ServiceRow> row = sheet.service(service);
    if (row.isEmpty()) {
      return done(CallerAnswer.of(ResultCode.UNKNOWN_SERVICE, 0));
    }
    if (request.content().length() > settings.bodyLimitBytes()) {
      return done(CallerAnswer.of(ResultCode.BODY_TOO_LARGE, 0));
    }
    OptionalLong timeout = timeoutMillis(request, row.get());
    if (timeout.isEmpty()) {
      return done(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
    }
    long deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(timeout.getAsLong());
    if (row.get().idempotent()) {
      ExecutorRequest sent = executorRequest(workspace, service, "", request);
      return dispatch(sent, row.get(), deadlineNanos, () -> true).thenApply(this::toAnswer);
    }
    return claimThenDispatch(workspace, row.get(), request, deadlineNanos);
  }

  private OptionalLong timeoutMillis(AggregatedHttpRequest request, ServiceRow row) {
    String header = request.headers().get(Headers.TIMEOUT_MILLIS, "");
    if (header.isEmpty()) {
      return OptionalLong.of(row.timeoutMillis());
    }
    try {
      long asked = Long.parseLong(header);
      return asked > 0
          ? OptionalLong.of(Math.min(asked, row.timeoutMillis()))
          : OptionalLong.empty();
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private CompletableFuture<CallerAnswer> claimThenDispatch(
      String workspace, ServiceRow row, AggregatedHttpRequest request, long deadlineNanos) {
    String key = request.headers().get(Headers.IDEMPOTENCY_KEY, "");
    OptionalLong keyMillis = KeyTime.millis(key);
    if (keyMillis.isEmpty()) {
      return done(CallerAnswer.of(ResultCode.BAD_KEY, 0));
    }
    long age = Math.abs(System.currentTimeMillis() - keyMillis.getAsLong());
    if (age > settings.claimWindowMillis()) {
      return done(CallerAnswer.of(ResultCode.KEY_EXPIRED, 0));
    }
    RequestKey requestKey = new RequestKey(workspace, key);
    Optional<ClaimState> known = claims.find(requestKey);
    if (known.isPresent() && known.get().phase() != ClaimState.Phase.RELEASED) {
      return done(repeated(known.get()));
    }
    ExecutorRequest sent = executorRequest(workspace, row.name(), key, request);
    return claim(requestKey)
        .thenCompose(fate -> afterClaim(fate, requestKey, sent, row, deadlineNanos));
  }

  private static CallerAnswer repeated(ClaimState claim) {
    return CallerAnswer.of(
        claim.phase() == ClaimState.Phase.SETTLED ? ResultCode.ANSWER_GONE : ResultCode.OWNER_GONE,
        0);
  }

  private CompletableFuture<ClaimCoordinator.Fate> claim(RequestKey key) {
    CompletableFuture<ClaimCoordinator.Fate> fate = claims.claim(key);
    CompletableFuture.delayedExecutor(settings.claimWaitMillis(), TimeUnit.MILLISECONDS)
        .execute(() -> giveUp(key, fate));
    return fate;
  }

  private void giveUp(RequestKey key, CompletableFuture<ClaimCoordinator.Fate> fate) {
    if (!fate.isDone()) {
      claims.abandon(key);
    }
  }

  private CompletableFuture<CallerAnswer> afterClaim(
      ClaimCoordinator.Fate fate,
      RequestKey key,
      ExecutorRequest sent,
      ServiceRow row,
      long deadlineNanos) {
    return switch (fate) {
      case REFUSED -> done(CallerAnswer.of(ResultCode.LOG_UNAVAILABLE, RETRY_AFTER_MILLIS));
      case LOST -> done(CallerAnswer.of(ResultCode.OWNER_GONE, 0));
      case WON ->
          dispatch(sent, row, deadlineNanos, () -> true).thenApply(result -> settle(key, result));
    };
  }

  private CallerAnswer settle(RequestKey key, DispatchResult result) {
    switch (result) {
      case DispatchResult.Answered answered -> claims.settle(key);
      case DispatchResult.NotRun notRun -> claims.release(key);
      case DispatchResult.Lost lost -> {
        // the claim stays, so that the request never runs again
      }
    }
    return toAnswer(result);
  }

  private CompletableFuture<DispatchResult> dispatch(
      ExecutorRequest sent, ServiceRow row, long deadlineNanos, BooleanSupplier mayDispatch) {
    CompletableFuture<DispatchResult> result = new CompletableFuture<>();
    Optional<WorkspaceRow> workspace = configuration.inForce().sheet().workspace(sent.workspace());
    dispatcher.submit(
        new DispatchRequest(
            sent,
            workspace.map(WorkspaceRow::rank).orElse(row.rank()),
            workspace.map(WorkspaceRow::share).orElse(1),
            row.idempotent(),
            deadlineNanos,
            mayDispatch,
            result));
    return result;
  }

  private CallerAnswer toAnswer(DispatchResult result) {
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

  private static CompletableFuture<CallerAnswer> done(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
