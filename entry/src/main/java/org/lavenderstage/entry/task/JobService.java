package org.lavenderstage.entry.task;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.entry.config.Configuration;
import org.lavenderstage.entry.request.Authenticator;
import org.lavenderstage.entry.request.CallerAnswer;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.http.JobRequest;
import org.lavenderstage.wire.http.JobView;

/** Serves {@code POST|GET|DELETE /v1/workspaces/{workspace}/jobs[/{job}]}. */
public final class JobService implements HttpService {
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final Configuration configuration;
  private final JobDesk desk;
  private final BooleanSupplier accepting;

  /**
   * Makes the service.
   *
   * @param configuration the sheet in force
   * @param desk submits, finds and cancels jobs
   * @param accepting whether this entry takes new work
   */
  public JobService(Configuration configuration, JobDesk desk, BooleanSupplier accepting) {
    this.configuration = configuration;
    this.desk = desk;
    this.accepting = accepting;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    String workspace = Optional.ofNullable(context.pathParam("workspace")).orElse("");
    String job = Optional.ofNullable(context.pathParam("job")).orElse("");
    return HttpResponse.of(
        request
            .aggregate()
            .thenCompose(whole -> answer(workspace, job, whole))
            .exceptionally(failure -> CallerAnswer.of(ResultCode.INTERNAL, 0))
            .thenApply(CallerAnswer::toResponse));
  }

  private CompletableFuture<CallerAnswer> answer(
      String workspace, String job, AggregatedHttpRequest request) {
    Sheet sheet = configuration.inForce().sheet();
    String authorization = request.headers().get("authorization", "");
    if (Authenticator.authenticate(sheet, workspace, authorization).isEmpty()) {
      return done(CallerAnswer.of(ResultCode.BAD_TOKEN, 0));
    }
    if (request.method() == HttpMethod.POST) {
      return submit(sheet, workspace, request);
    }
    Optional<JobState> state = desk.find(workspace, job);
    if (state.isEmpty()) {
      return done(CallerAnswer.of(ResultCode.UNKNOWN_JOB, 0));
    }
    if (request.method() == HttpMethod.DELETE) {
      return desk.cancel(workspace, job).thenApply(JobService::cancelled);
    }
    return done(CallerAnswer.json(ResultCode.JOB_READ, view(state.get())));
  }

  private static CallerAnswer cancelled(boolean inLog) {
    return inLog
        ? CallerAnswer.of(ResultCode.JOB_CANCELLED, 0)
        : CallerAnswer.of(ResultCode.LOG_UNAVAILABLE, RETRY_AFTER_MILLIS);
  }

  private CompletableFuture<CallerAnswer> submit(
      Sheet sheet, String workspace, AggregatedHttpRequest request) {
    if (!accepting.getAsBoolean()) {
      return done(CallerAnswer.of(ResultCode.NOT_READY, RETRY_AFTER_MILLIS));
    }
    try {
      JobRequest job = JsonCodec.decode(request.content().array(), JobRequest.class);
      if (job.batchClass() == null || sheet.batchClass(job.batchClass()).isEmpty()) {
        return done(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
      }
      return desk.submit(workspace, job).thenApply(JobService::submitted);
    } catch (MalformedMessageException e) {
      return done(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
    }
  }

  private static CallerAnswer submitted(Optional<String> job) {
    return job.map(
            id -> CallerAnswer.json(ResultCode.JOB_ACCEPTED, new JobView(id, "accepted", 0, "")))
        .orElseGet(() -> CallerAnswer.of(ResultCode.LOG_UNAVAILABLE, RETRY_AFTER_MILLIS));
  }

  private static JobView view(JobState state) {
    String worker = state.phase().isFinal() ? "" : state.worker();
    return new JobView(
        state.accepted().job(),
        state.phase().name().toLowerCase(Locale.ROOT),
        state.attempt(),
        worker);
  }

  private static CompletableFuture<CallerAnswer> done(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
