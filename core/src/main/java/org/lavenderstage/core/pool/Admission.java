package org.lavenderstage.core.pool;

import java.util.Optional;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobEstimate;
import org.lavenderstage.core.job.JobRecord;

/**
 * Decides whether a new job is accepted, or refused at once with a time to return. A job is refused
 * only where the accepted work before it, and what keeps coming, fill the capacity far beyond its
 * hard deadline, so that it would wait for nothing. Where the outcome is uncertain it is accepted,
 * and so is a job whose caller returns as told.
 */
final class Admission {
  /**
   * A job is refused if its shortest predicted time exceeds the time to its hard deadline by this
   * factor. Estimates are rough, and turns and preemption serve jobs that rank behind others.
   */
  private static final double REFUSAL_MARGIN = 3;

  private final AdmissionForecast forecast;
  private final RefusedJobs refusedJobs = new RefusedJobs();
  private final RefusalShares shares = new RefusalShares();
  private final DecisionLog log;

  Admission(AdmissionForecast forecast, DecisionLog log) {
    this.forecast = forecast;
    this.log = log;
  }

  /** Renews the figures that decisions are made from, if that is due. */
  void update(JobTable jobs, WorkerTable workers, long nowMillis) {
    forecast.update(jobs, workers, nowMillis);
  }

  /** Counts a job that a previous owner accepted at a monotonic time. */
  void recordInherited(JobRecord job, long acceptedMillis, long nowMillis) {
    forecast.recordAccepted(job, acceptedMillis, nowMillis);
    shares.record(job.rules().queue(), JobEstimate.of(job).workCoreMillis(), false);
  }

  /**
   * Counts an accepted job.
   *
   * @return the job to store, which counts as accepted at the first attempt of its caller
   */
  JobRecord accept(JobRecord job, long nowMillis) {
    Optional<RefusedJobs.Refusal> earlier = refusedJobs.find(job.job(), nowMillis);
    refusedJobs.remove(job.job());
    forecast.recordAccepted(job, nowMillis, nowMillis);
    if (earlier.isEmpty()) {
      shares.record(job.rules().queue(), JobEstimate.of(job).workCoreMillis(), false);
      return job;
    }
    long passedMillis = nowMillis - earlier.get().firstAttemptMillis();
    return new JobRecord(
        job.job(),
        job.rules(),
        job.acceptedAtMillis() - passedMillis,
        job.payload(),
        job.steps(),
        job.repeatCount(),
        job.startAtMillis(),
        job.intervalMillis());
  }

  /**
   * Refuses a job that is not known yet if it is hopeless.
   *
   * @return the answer to its caller, empty if the job is to be accepted
   */
  Optional<JobAnswer.Refused> refuse(JobRecord job, long nowMillis) {
    Optional<RefusedJobs.Refusal> earlier = refusedJobs.find(job.job(), nowMillis);
    if (earlier.filter(refusal -> refusal.isReturnDue(nowMillis)).isPresent()) {
      return Optional.empty();
    }
    Optional<AdmissionForecast.Prediction> predicted = forecast.predict(job, nowMillis);
    if (predicted.isEmpty()) {
      return Optional.empty();
    }
    JobEstimate estimate = JobEstimate.of(job);
    AdmissionForecast.Prediction prediction = predicted.get();
    long deadlineMillis = JobRanking.hardDeadlineMillis(estimate);
    boolean hopeless = prediction.shortestEndMillis() > REFUSAL_MARGIN * deadlineMillis;
    String queue = job.rules().queue();
    if (!hopeless || (earlier.isEmpty() && !shares.mayRefuse(queue, estimate.workCoreMillis()))) {
      return Optional.empty();
    }
    if (earlier.isEmpty()) {
      shares.record(queue, estimate.workCoreMillis(), true);
    }
    RefusedJobs.Refusal refusal =
        earlier.orElseGet(
            () ->
                refusedJobs.add(
                    job.job(), CapacityKind.of(job).orElseThrow(), prediction, nowMillis));
    long retryAfterMillis = Math.max(1, refusal.returnMillis() - nowMillis);
    log.record(
        Decision.JOB_NOT_ADMITTED,
        "job",
        job.job(),
        "queue",
        queue,
        "deadline-ms",
        deadlineMillis,
        "wait-ms",
        Math.round(prediction.expectedWaitMillis()),
        "work-core-ms",
        Math.round(prediction.workCoreMillis()),
        "work-ahead-core-ms",
        Math.round(prediction.workAheadCoreMillis()),
        "demand-cores",
        Math.round(prediction.demandCores()),
        "capacity-cores",
        Math.round(prediction.capacityCores()),
        "retry-after-ms",
        retryAfterMillis);
    return Optional.of(
        new JobAnswer.Refused(
            "the work before this job fills the capacity beyond its deadline", retryAfterMillis));
  }
}
