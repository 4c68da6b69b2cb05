package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.JobEstimate;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/** Computes what the callers of a running task lose if it is stopped and resumed later. */
final class StopCost {
  /** Time from the decision to stop a run until its resources are free, in milliseconds. */
  static final long STOP_MILLIS = 500;

  /**
   * Time that a stopped task loses beside its unsaved work, in milliseconds: until its end is
   * reported, its next start is ordered and its checkpoint is restored.
   */
  static final long RESUME_MILLIS = 1_000;

  private static final double FULL_SPEED_PERCENT = 100;

  private StopCost() {}

  /**
   * Returns the time until a run is expected to end, in milliseconds. The longer of two estimates
   * counts: by the reported progress, and by the elapsed time, where a run over its estimate by a
   * time takes as long again.
   */
  static long remainingMillis(Run run, long nowMillis) {
    if (run.state() == Run.State.STOPPING || run.state() == Run.State.DOUBTFUL) {
      return STOP_MILLIS;
    }
    long estimate = run.task().step().spec().estimateMillis();
    long byTime = Math.abs(run.stateSinceMillis() + estimate - nowMillis);
    if (run.progressPercent() < 0) {
      return byTime;
    }
    double leftFraction = 1 - run.progressPercent() / FULL_SPEED_PERCENT;
    double speed = Math.max(1, run.speedLimitPercent()) / FULL_SPEED_PERCENT;
    return Math.max(byTime, Math.round(estimate * leftFraction / speed));
  }

  /**
   * Returns the work that a run has done and that a stop does not save, in milliseconds. A task
   * with checkpoints saves its work when it is stopped.
   */
  static long unsavedMillis(Run run, long nowMillis) {
    if (run.task().step().spec().checkpointing() || run.state() != Run.State.RUNNING) {
      return 0;
    }
    double speed = run.speedLimitPercent() / FULL_SPEED_PERCENT;
    return Math.round((nowMillis - run.stateSinceMillis()) * speed);
  }

  /**
   * Returns the value of the work that is done again, including the time to resume. The work is
   * worth what its job earns by the same amount of work.
   */
  static double repeatedWork(Run run, JobOutlook outlook, long nowMillis) {
    StepSpec spec = run.task().step().spec();
    double fraction =
        (double) (unsavedMillis(run, nowMillis) + RESUME_MILLIS)
            / Math.max(1, spec.estimateMillis());
    double jobWork = Math.max(1, run.task().step().job().estimate().workCoreMillis());
    return outlook.value() * fraction * JobEstimate.taskWorkCoreMillis(spec) / jobWork;
  }

  /**
   * Returns the expected value that the job of a run loses by the delay if the run is stopped.
   *
   * @param occupiedMillis time for which the other task uses the resources, in milliseconds
   */
  static double delay(Run run, JobOutlook outlook, long occupiedMillis, long nowMillis) {
    return outlook.lossByDelay(unsavedMillis(run, nowMillis) + RESUME_MILLIS + occupiedMillis);
  }
}
