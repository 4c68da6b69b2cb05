package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobEstimate;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/**
 * What a job still needs, without its long-running steps, and how it ranks.
 *
 * @param service service whose workers run the tasks
 * @param priority priority of the job's queue
 * @param valueDensity value of the job for each core-millisecond
 * @param allocatedCoreMillis work of the tasks that allocate processors
 * @param bestEffortCoreMillis work of the best-effort tasks
 */
record JobDemand(
    String service,
    int priority,
    double valueDensity,
    double allocatedCoreMillis,
    double bestEffortCoreMillis) {
  /** Fraction of its work that a running task is expected to have left. */
  private static final double RUNNING_TASK_SHARE = 0.5;

  /** Returns the demand of a submission. */
  static JobDemand of(JobRecord job, JobRanking ranking) {
    double allocated = 0;
    double bestEffort = 0;
    for (StepSpec step : job.steps()) {
      double work = step.lasting() ? 0 : JobEstimate.taskWorkCoreMillis(step) * step.count();
      allocated += step.filling() ? 0 : work;
      bestEffort += step.filling() ? work : 0;
    }
    return of(job, allocated, bestEffort, ranking);
  }

  /** Returns the demand of an active job. */
  static JobDemand remaining(Job job, JobRanking ranking) {
    double allocated = 0;
    double bestEffort = 0;
    for (JobStep step : job.openSteps()) {
      StepSpec spec = step.spec();
      if (!spec.lasting() && !step.isDone()) {
        double work = JobEstimate.taskWorkCoreMillis(spec) * remainingTasks(step);
        allocated += spec.filling() ? 0 : work;
        bestEffort += spec.filling() ? work : 0;
      }
    }
    return of(job.record(), allocated, bestEffort, ranking);
  }

  private static double remainingTasks(JobStep step) {
    double sum = 0;
    for (Task task : step.tasks()) {
      if (!task.isDone()) {
        sum += task.runs().isEmpty() ? 1 : RUNNING_TASK_SHARE;
      }
    }
    return sum;
  }

  private static JobDemand of(
      JobRecord job, double allocated, double bestEffort, JobRanking ranking) {
    double density = ranking.valueDensity(job, allocated + bestEffort);
    return new JobDemand(
        job.rules().service(), job.rules().priority(), density, allocated, bestEffort);
  }

  /**
   * Returns the part of this demand that takes capacity of a kind. Tasks that allocate processors
   * leave less idle; best-effort tasks take nothing that others could allocate.
   */
  WorkAhead.Part part(CapacityKind kind) {
    double work = allocatedCoreMillis + (kind.bestEffort() ? bestEffortCoreMillis : 0);
    return new WorkAhead.Part(priority, valueDensity, work);
  }
}
