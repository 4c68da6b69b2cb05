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
  private final JobGateway jobs;
  private final BooleanSupplier accepting;

  /**
   * Creates the service.
   *
   * @param settings the settings, which contain the limit of the body size
   * @param configuration the configuration, which provides the sheet in force
   * @param jobs the gateway through which jobs are submitted, found and cancelled
   * @param accepting returns whether this entry accepts new jobs
   */
  public JobService(
      EntrySettings settings,
      Configuration configuration,
      JobGateway jobs,
      BooleanSupplier accepting) {
    this.bodyLimitBytes = settings.bodyLimitBytes();
    this.configuration = configuration;
    this.jobs = jobs;
    this.accepting = accepting;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    String workspace = Optional.ofNullable(context.pathParam("workspace")).orElse("");
    String job = Optional.ofNullable(context.pathParam("job")).orElse("");
    return HttpResponse.of(
        request
            .aggregate()
            .thenCompose(aggregated -> answer(workspace, job, aggregated))
            .exceptionally(JobService::failureAnswer)
            .thenApply(CallerAnswer::toResponse));
  }

  private CompletableFuture<CallerAnswer> answer(
      String workspace, String job, AggregatedHttpRequest request) {
    Sheet sheet = configuration.inForce().sheet();
    String authorization = request.headers().get("authorization", "");
    if (Authenticator.authenticate(sheet, workspace, authorization).isEmpty()) {
      return completed(CallerAnswer.of(ResultCode.BAD_TOKEN, 0));
    }
    if (request.method() == HttpMethod.POST && job.isEmpty()) {
      return submit(sheet, workspace, request);
    }
    Optional<JobState> state = jobs.find(workspace, job);
    if (state.isEmpty()) {
      return completed(CallerAnswer.of(ResultCode.UNKNOWN_JOB, 0));
    }
    if (request.method() == HttpMethod.DELETE) {
      return jobs.cancel(workspace, job).thenApply(JobService::cancellationAnswer);
    }
    if (request.method() == HttpMethod.GET) {
      return completed(CallerAnswer.json(ResultCode.JOB_READ, view(state.get())));
    }
    return completed(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
  }

  private static CallerAnswer failureAnswer(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    boolean tooLarge = cause instanceof ContentTooLargeException;
    return CallerAnswer.of(tooLarge ? ResultCode.BODY_TOO_LARGE : ResultCode.INTERNAL, 0);
  }

  private static CallerAnswer cancellationAnswer(ProposalOutcome outcome) {
    return outcome == ProposalOutcome.IN_LOG
        ? CallerAnswer.of(ResultCode.JOB_CANCELLED, 0)
        : refusalAnswer(outcome);
  }

  private static CallerAnswer refusalAnswer(ProposalOutcome outcome) {
    return switch (outcome) {
      case IN_LOG ->
          throw new IllegalArgumentException("expected the outcome of a refusal, found IN_LOG");
      case REFUSED -> CallerAnswer.of(ResultCode.OVERLOADED, RETRY_AFTER_MILLIS);
      case TOO_LARGE -> CallerAnswer.of(ResultCode.JOB_TOO_LARGE, 0);
      case LOG_UNAVAILABLE -> CallerAnswer.of(ResultCode.LOG_UNAVAILABLE, RETRY_AFTER_MILLIS);
      case UNKNOWN -> CallerAnswer.of(ResultCode.JOB_FATE_UNKNOWN, RETRY_AFTER_MILLIS);
    };
  }

  private CompletableFuture<CallerAnswer> submit(
      Sheet sheet, String workspace, AggregatedHttpRequest request) {
    if (!accepting.getAsBoolean()) {
      return completed(CallerAnswer.of(ResultCode.NOT_READY, RETRY_AFTER_MILLIS));
    }
    if (request.content().length() > bodyLimitBytes) {
      return completed(CallerAnswer.of(ResultCode.BODY_TOO_LARGE, 0));
    }
    try {
      JobRequest job = JsonCodec.decode(request.content().array(), JobRequest.class);
      Optional<ResultCode> error = JobRequestCheck.validate(sheet, job);
      return error.isPresent()
          ? completed(CallerAnswer.of(error.get(), 0))
          : jobs.submit(workspace, job).thenApply(JobService::submissionAnswer);
    } catch (MalformedMessageException e) {
      return completed(CallerAnswer.of(ResultCode.BAD_REQUEST, 0));
    }
  }

  private static CallerAnswer submissionAnswer(Submission submission) {
    JobView accepted = new JobView(submission.job(), "accepted", 0, "", "");
    JobView unknown = new JobView(submission.job(), "unknown", 0, "", "");
    return switch (submission.outcome()) {
      case IN_LOG -> CallerAnswer.json(ResultCode.JOB_ACCEPTED, accepted);
      case UNKNOWN -> CallerAnswer.json(ResultCode.JOB_FATE_UNKNOWN, unknown);
      case REFUSED, TOO_LARGE, LOG_UNAVAILABLE -> refusalAnswer(submission.outcome());
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

  private static CompletableFuture<CallerAnswer> completed(CallerAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
