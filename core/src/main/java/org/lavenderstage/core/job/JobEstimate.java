package org.lavenderstage.core.job;

import java.util.List;

/**
 * What the estimates of a submission say about one occurrence of its job.
 *
 * @param workCoreMillis the work of all tasks, in core-milliseconds
 * @param softDeadlineMillis the time from its acceptance until which a job has its full value, in
 *     milliseconds
 */
public record JobEstimate(double workCoreMillis, long softDeadlineMillis) {
  private static final double CPU_MILLIS_PER_CORE = 1_000;

  /**
   * Returns the estimate of a job.
   *
   * @param record the submission
   * @return the estimate
   */
  public static JobEstimate of(JobRecord record) {
    double work = 0;
    for (StepSpec spec : record.steps()) {
      work += taskWorkCoreMillis(spec) * spec.count();
    }
    return new JobEstimate(work, softDeadlineMillis(record));
  }

  /**
   * Returns the work of one task of a step.
   *
   * @param spec the step
   * @return the estimated work in core-milliseconds
   */
  public static double taskWorkCoreMillis(StepSpec spec) {
    return spec.cpuMillis() / CPU_MILLIS_PER_CORE * spec.estimateMillis();
  }

  private static long softDeadlineMillis(JobRecord record) {
    List<StepSpec> steps = record.steps();
    long[] pathMillis = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < pathMillis.length; i++) {
      StepSpec spec = steps.get(i);
      pathMillis[i] = pathBeforeMillis(spec, pathMillis) + spec.estimateMillis();
      longest = Math.max(longest, pathMillis[i]);
    }
    return Math.round(record.rules().slackFactor() * longest) + record.rules().targetMillis();
  }

  /**
   * Returns the length of the critical path to the start of a step.
   *
   * @param spec the step
   * @param pathMillis length of the critical path to the end of each earlier step, in milliseconds
   * @return the time in milliseconds
   */
  public static long pathBeforeMillis(StepSpec spec, long[] pathMillis) {
    long before = 0;
    for (int dependency : spec.dependsOn()) {
      before = Math.max(before, pathMillis[dependency]);
    }
    return before;
  }
}
