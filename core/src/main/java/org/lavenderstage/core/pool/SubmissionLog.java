package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.StepSpec;

/** Logs submissions with their steps. */
final class SubmissionLog {
  private SubmissionLog() {}

  static void record(JobRecord job, DecisionLog log) {
    log.record(
        Decision.JOB_SUBMITTED,
        "job",
        job.job(),
        "queue",
        job.rules().queue(),
        "steps",
        summarize(job));
  }

  /** Returns the counts, demands, attributes and declared run times of the steps. */
  private static String summarize(JobRecord record) {
    StringBuilder text = new StringBuilder();
    for (StepSpec step : record.steps()) {
      text.append(step.count()).append('x').append(step.cpuMillis()).append('m');
      text.append(step.filling() ? "-filling" : "").append(step.lasting() ? "-lasting" : "");
      text.append(step.checkpointing() ? "-saving" : "").append(step.gang() ? "-gang" : "");
      text.append(step.image().isEmpty() ? "" : "@" + step.image());
      text.append('/').append(step.estimateMillis()).append("ms ");
    }
    return text.toString().trim();
  }
}
