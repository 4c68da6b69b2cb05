package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.JobEstimate;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/**
 * Learns how long tasks run compared to their declared run times, from the runs that ended as done.
 */
final class RunTimes {
  /** Weight that the earlier runs keep with each run, so that some 500 runs count. */
  private static final double DECAY = 0.998;

  /** Number of runs before which the declared run times are taken as they are. */
  private static final int MIN_RUNS = 50;

  /** Bounds of the ratio: the mean of many runs is not off by more unless the runs are unusual. */
  private static final double MIN_RATIO = 0.5;

  private static final double MAX_RATIO = 1.5;

  private final Map<CapacityKind, Sums> sumsByKind = new HashMap<>();

  /** Decaying sums of declared and actual work in core-milliseconds. */
  private static final class Sums {
    private double declared;
    private double actual;
    private int runs;
  }

  /** Records a run that is done. A run from a checkpoint tells nothing of the whole task. */
  void recordDone(Run run, long nowMillis) {
    StepSpec spec = run.task().step().spec();
    if (spec.lasting()
        || run.state() != Run.State.RUNNING
        || !run.startCheckpoint().isEmpty()
        || spec.estimateMillis() <= 0) {
      return;
    }
    String service = run.task().step().job().rules().service();
    Sums sums =
        sumsByKind.computeIfAbsent(new CapacityKind(service, spec.filling()), key -> new Sums());
    double declared = JobEstimate.taskWorkCoreMillis(spec);
    double ratio = (double) (nowMillis - run.stateSinceMillis()) / spec.estimateMillis();
    sums.declared = sums.declared * DECAY + declared;
    sums.actual = sums.actual * DECAY + declared * ratio;
    sums.runs++;
  }

  /** Returns the actual run time of tasks as a multiple of the declared one. */
  double ratio(CapacityKind kind) {
    Sums sums = sumsByKind.get(kind);
    return sums == null || sums.runs < MIN_RUNS || sums.declared == 0
        ? 1
        : Math.clamp(sums.actual / sums.declared, MIN_RATIO, MAX_RATIO);
  }
}
