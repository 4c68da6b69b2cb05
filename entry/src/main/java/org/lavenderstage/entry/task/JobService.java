package org.lavenderstage.entry.task;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lavenderstage.core.ledger.cell.JobPhase;
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
import org.lavenderstage.wire.settings.EntrySettings;

/** Serves {@code POST|GET|DELETE /v1/workspaces/{workspace}/jobs[/{job}]}. */
public final class JobService implements HttpService {
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final int bodyLimitBytes;
  private final Configuration configuration;
  private final JobGateway desk;
  private final BooleanSupplier accepting;

  /**
   * Makes the service.
   *
   * @param settings the body limit
   * @param configuration the sheet in force
   * @param desk submits, finds and cancels jobs
   * @param accepting whether this entry takes new work
   */
  public JobService(
      EntrySettings settings,
      Configuration configuration,
      JobGateway desk,
      BooleanSupplier accepting) {
    this.bodyLimitBytes = settings.bodyLimitBytes();
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
            .exceptionally(JobService::failed)
            .thenApply(CallerAnswer::toResponse));
  }

  private CompletableFuture<CallerAnswer> answer(
      String workspace, String job, AggregatedHttpRequest request) {
    Sheet sheet = configuration.inForce().sheet();
    String authorization = request.headers().get("authorization", "");
    if (Authenticator.authenticate(sheet, workspace, authorization).isEmpty()) {
      return done(CallerAnswer.of(ResultCode.BAD_TOKEN, 0));
    }
    if (request.method() == HttpMethod.POST && job.isEmpty()) {
      return submit(sheet, workspace, request);
    }
    Optional<JobState> state = desk.find(workspace, job);
    if (state.isEmpty()) {
      return done(CallerAnswer.of(ResultCode.UNKNOWN_JOB, 0));
    }
    if (request.method() == HttpMethod.DELETE) {
      return desk.cancel(workspace, job).thenApply(JobService::cancelled);
    }
    if (request.method() == HttpMethod.GET) {
      return done(CallerAnswer.json(ResultCode.JOB_READ, view(state.get())));
    }
    return done(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
  }

  private static CallerAnswer failed(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    boolean tooLarge = cause instanceof ContentTooLargeException;
    return CallerAnswer.of(tooLarge ? ResultCode.BODY_TOO_LARGE : ResultCode.INTERNAL, 0);
  }

  private static CallerAnswer cancelled(JobFate fate) {
    return fate == JobFate.IN_LOG ? CallerAnswer.of(ResultCode.JOB_CANCELLED, 0) : refused(fate);
  }

  private static CallerAnswer refused(JobFate fate) {
    return switch (fate) {
      case IN_LOG -> throw new IllegalArgumentException("nothing was refused");
      case REFUSED -> CallerAnswer.of(ResultCode.OVERLOADED, RETRY_AFTER_MILLIS);
      case TOO_LARGE -> CallerAnswer.of(ResultCode.JOB_TOO_LARGE, 0);
      case LOG_UNAVAILABLE -> CallerAnswer.of(ResultCode.LOG_UNAVAILABLE, RETRY_AFTER_MILLIS);
      case UNKNOWN -> CallerAnswer.of(ResultCode.JOB_FATE_UNKNOWN, RETRY_AFTER_MILLIS);
    };
  }

  private CompletableFuture<CallerAnswer> submit(
      Sheet sheet, String workspace, AggregatedHttpRequest request) {
    if (!accepting.getAsBoolean()) {
      return done(CallerAnswer.of(ResultCode.NOT_READY, RETRY_AFTER_MILLIS));
    }
    if (request.content().length() > bodyLimitBytes) {
      return done(CallerAnswer.of(ResultCode.BODY_TOO_LARGE, 0));
    }
    try {
      JobRequest job = JsonCodec.decode(request.content().array(), JobRequest.class);
      Optional<ResultCode> fault = JobRequestCheck.fault(sheet, job);
      return fault.isPresent()
          ? done(CallerAnswer.of(fault.get(), 0))
          : desk.submit(workspace, job).thenApply(JobService::submitted);
    } catch (MalformedMessageException e) {
      return done(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
    }
  }

  private static CallerAnswer submitted(Submission submission) {
    JobView accepted = new JobView(submission.job(), "accepted", 0, "", "");
    JobView unknown = new JobView(submission.job(), "unknown", 0, "", "");
    return switch (submission.fate()) {
      case IN_LOG -> CallerAnswer.json(ResultCode.JOB_ACCEPTED, accepted);
      case UNKNOWN -> CallerAnswer.json(ResultCode.JOB_FATE_UNKNOWN, unknown);
      case REFUSED, TOO_LARGE, LOG_UNAVAILABLE -> refused(submission.fate());
    };
  }

  private static JobView view(JobState state) {
    String worker = state.phase().isFinal() ? "" : state.worker();
    return new JobView(
        state.accepted().job(),
        state.phase().name().toLowerCase(Locale.ROOT),
        state.attempt(),
        worker,
        reason(state));
  }

  private static String reason(JobState state) {
    if (state.phase() != JobPhase.FAILED) {
      return "";
    }
    return state.failedOn().isEmpty()
        ? "no worker is large enough"
        : "failed on " + state.failedOn().size() + " workers";
  }

  private static CompletableFuture<CallerAnswer> done(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
