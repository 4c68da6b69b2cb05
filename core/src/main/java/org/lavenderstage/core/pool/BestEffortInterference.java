package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/**
 * Estimates how much of a serving task's utilization is its own load and how much is caused by the
 * best-effort tasks on the same worker.
 *
 * <p>The tail latency of a serving task is modeled as that of a queue: base latency / (1 -
 * utilization). All tasks of a step have the same load of their own, which changes within seconds.
 * What a worker shows beyond it is attributed to the best-effort tasks there, in proportion to the
 * uncertainty of their interference coefficients. Loads and coefficients are tracked by a Kalman
 * filter that keeps only variances, no covariances.
 */
final class BestEffortInterference {
  /** Base latency as a fraction of the smallest tail latency seen. */
  private static final double BASE_TO_SMALLEST_RATIO = 0.75;

  /** Latency target as a multiple of the base latency, assumed until a tail latency was seen. */
  private static final double TARGET_TO_BASE_RATIO = 6;

  /** Relative noise of a reported tail latency, as a standard deviation. */
  private static final double RELATIVE_LATENCY_NOISE = 0.12;

  /** Minimum noise of a utilization derived from a tail latency, as a standard deviation. */
  private static final double MIN_UTILIZATION_NOISE = 0.02;

  /** Drift of a step's own load within one second, as a standard deviation. */
  private static final double LOAD_DRIFT = 0.06;

  /** Standard deviation of a load of which nothing is known. */
  private static final double INITIAL_LOAD_DEVIATION = 0.2;

  /** Maximum residual used for an update; tail latencies are noisy and have outliers. */
  private static final double MAX_RESIDUAL = 0.4;

  /**
   * Window that the figures of a report cover, in milliseconds; reports closer together repeat the
   * same measurements.
   */
  static final long REPORT_WINDOW_MILLIS = 500;

  /**
   * Time after the start of a serving task for which its tail latency is ignored, in milliseconds.
   */
  private static final long WARM_UP_MILLIS = 1_000;

  private static final int READY_PERCENT = 100;

  private final InterferenceTable table = new InterferenceTable();
  private final Map<String, Double> smallestLatencyMillis = new HashMap<>();

  /** Weak, since this class is not notified when steps end. */
  private final Map<JobStep, BaseLoad> loads = new WeakHashMap<>();

  /** The utilization of each task of a step by its own load. */
  private record BaseLoad(double mean, double variance, long updatedAtMillis) {
    BaseLoad at(long nowMillis) {
      double seconds = Math.max(0, nowMillis - updatedAtMillis) / 1_000.0;
      double drifted = variance + LOAD_DRIFT * LOAD_DRIFT * seconds;
      double maxVariance = INITIAL_LOAD_DEVIATION * INITIAL_LOAD_DEVIATION;
      return new BaseLoad(mean, Math.min(maxVariance, drifted), nowMillis);
    }
  }

  /**
   * The fraction of a worker's processors that the best-effort tasks of one image used within a
   * report's window.
   */
  private record CpuUse(String image, double share) {}

  /**
   * Returns the mean interference coefficient of a best-effort image over the serving images that
   * it ran beside.
   */
  double meanCoefficient(String bestEffort) {
    return table.meanCoefficient(bestEffort);
  }

  /** Returns the utilization at which a serving task just meets its latency target. */
  double utilizationLimit(StepSpec serving) {
    return Math.max(0, 1 - baseLatencyMillis(serving) / serving.tailTargetMillis());
  }

  private double baseLatencyMillis(StepSpec serving) {
    double expected = serving.tailTargetMillis() / TARGET_TO_BASE_RATIO;
    Double smallest = smallestLatencyMillis.get(serving.image());
    return smallest == null ? expected : BASE_TO_SMALLEST_RATIO * smallest;
  }

  /** Updates the estimates from a worker's latest report. */
  void observe(Worker worker, long nowMillis) {
    double capacity = worker.capacityCpuMillis();
    if (!worker.isServing() || capacity <= 0) {
      return;
    }
    List<Run> serving = new ArrayList<>();
    for (Run run : worker.runs()) {
      if (Worker.serves(run.task().step().spec()) && isWarmedUp(run, nowMillis)) {
        serving.add(run);
      }
    }
    boolean isNewWindow = worker.latencyLearnedAtMillis() + REPORT_WINDOW_MILLIS <= nowMillis;
    if (serving.isEmpty() || !isNewWindow) {
      return;
    }
    worker.latencyLearned(nowMillis);
    Collection<CpuUse> uses = cpuUses(worker, capacity, nowMillis);
    for (Run run : serving) {
      updateEstimates(run, uses, nowMillis);
    }
  }

  private static boolean isWarmedUp(Run run, long nowMillis) {
    return run.state() == Run.State.RUNNING
        && run.load() > 0
        && run.progressPercent() == READY_PERCENT
        && nowMillis - run.stateSinceMillis() > WARM_UP_MILLIS;
  }

  private static Collection<CpuUse> cpuUses(Worker worker, double capacity, long nowMillis) {
    Map<String, Double> shares = new HashMap<>();
    for (Run run : worker.runs()) {
      StepSpec spec = run.task().step().spec();
      if (spec.filling() && run.load() > 0) {
        shares.merge(spec.image(), run.load() / capacity, Double::sum);
      }
    }
    worker
        .endedBestEffortRuns(nowMillis)
        .forEach((image, cpuMillis) -> shares.merge(image, cpuMillis / capacity, Double::sum));
    List<CpuUse> uses = new ArrayList<>(shares.size());
    shares.forEach((image, share) -> uses.add(new CpuUse(image, share)));
    return uses;
  }

  private void updateEstimates(Run run, Collection<CpuUse> uses, long nowMillis) {
    JobStep step = run.task().step();
    String image = step.spec().image();
    smallestLatencyMillis.merge(image, (double) run.load(), Math::min);
    double observed = observedUtilization(run);
    double noise = Math.max(MIN_UTILIZATION_NOISE, RELATIVE_LATENCY_NOISE * (1 - observed));
    BaseLoad load = loadOf(step).at(nowMillis);
    double addedUtilization = 0;
    double variance = noise * noise + load.variance;
    for (CpuUse use : uses) {
      InterferenceTable.Estimate estimate = table.currentEstimate(image, use.image, nowMillis);
      addedUtilization += estimate.mean() * use.share;
      variance += estimate.variance() * use.share * use.share;
    }
    double innovation = observed - load.mean - addedUtilization;
    double residual = Math.max(-MAX_RESIDUAL, Math.min(MAX_RESIDUAL, innovation));
    for (CpuUse use : uses) {
      table.correctEstimate(image, use.image, use.share, residual, variance, nowMillis);
    }
    double gain = load.variance / variance;
    double mean = Math.max(0, Math.min(1, load.mean + gain * residual));
    loads.put(step, new BaseLoad(mean, load.variance * (1 - gain), nowMillis));
  }

  private BaseLoad loadOf(JobStep step) {
    BaseLoad known = loads.get(step);
    return known == null
        ? new BaseLoad(Run.ASSUMED_UTILIZATION, INITIAL_LOAD_DEVIATION * INITIAL_LOAD_DEVIATION, 0)
        : known;
  }

  /**
   * Returns the utilization derived from the tail latency of a serving task; 0 before its first
   * report.
   */
  double observedUtilization(Run serving) {
    return serving.load() <= 0
        ? 0
        : Math.max(0, 1 - baseLatencyMillis(serving.task().step().spec()) / serving.load());
  }

  /**
   * Returns the utilization of a serving task by its step's own load, without interference.
   *
   * @return the utilization, 0 to 1
   */
  double baseUtilization(JobStep serving) {
    return loadOf(serving).mean;
  }

  /**
   * Returns the free utilization of the serving task closest to its limit, if all best-effort tasks
   * of the worker used their full speed limits.
   *
   * @param worker the worker
   * @param headroom fraction of each limit that is kept free
   * @param nowMillis monotonic time in milliseconds
   * @return the free utilization; negative where a serving task would exceed its limit, and 1 where
   *     the worker has no serving task
   */
  double margin(Worker worker, double headroom, long nowMillis) {
    if (!worker.isServing()) {
      return 1;
    }
    double minFree = 1;
    List<Run> serving = new ArrayList<>();
    List<Run> bestEffort = new ArrayList<>();
    for (List<Run> runsOfTask : worker.runsByTask()) {
      for (Run run : runsOfTask) {
        StepSpec spec = run.task().step().spec();
        if (spec.filling()) {
          bestEffort.add(run);
        } else if (Worker.serves(spec)) {
          serving.add(run);
        }
      }
    }
    for (Run run : serving) {
      JobStep step = run.task().step();
      StepSpec spec = step.spec();
      double addedSum = addedByAll(spec, bestEffort, worker, nowMillis);
      double free = utilizationLimit(spec) * (1 - headroom) - baseUtilization(step) - addedSum;
      minFree = Math.min(minFree, free);
    }
    return minFree;
  }

  private double addedByAll(StepSpec serving, List<Run> bestEffort, Worker worker, long nowMillis) {
    double sum = 0;
    for (Run run : bestEffort) {
      StepSpec spec = run.task().step().spec();
      sum += addedBy(serving, spec, worker, nowMillis) * run.speedLimitPercent() / 100.0;
    }
    return sum;
  }

  /** Returns the utilization that one best-effort task at full speed adds to a serving task. */
  double addedBy(StepSpec serving, StepSpec bestEffort, Worker worker, long nowMillis) {
    return cpuShare(bestEffort, worker)
        * table.currentEstimate(serving.image(), bestEffort.image(), nowMillis).mean();
  }

  /**
   * Returns the maximum utilization that a best-effort task at full speed would add to any of the
   * given serving tasks, with the interference coefficients raised for safety.
   *
   * @param deviations number of standard deviations by which the coefficients are raised
   */
  double maxAddedBy(
      StepSpec bestEffort,
      Iterable<StepSpec> serving,
      Worker worker,
      double deviations,
      long nowMillis) {
    double maxCoefficient = 0;
    for (StepSpec spec : serving) {
      InterferenceTable.Estimate pair =
          table.currentEstimate(spec.image(), bestEffort.image(), nowMillis);
      maxCoefficient = Math.max(maxCoefficient, pair.mean() + deviations * pair.deviation());
    }
    return maxCoefficient * cpuShare(bestEffort, worker);
  }

  private static double cpuShare(StepSpec bestEffort, Worker worker) {
    return (double) bestEffort.cpuMillis() / Math.max(1, worker.capacityCpuMillis());
  }
}
