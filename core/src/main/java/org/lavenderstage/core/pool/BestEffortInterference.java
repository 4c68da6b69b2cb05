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
 * Learns how much of a serving task's utilization is its own load and how much comes from the
 * filling tasks beside it.
 *
 * <p>A serving task's tail latency grows as in a queue, floor / (1 - utilization). All tasks of a
 * step share their own load, which moves over seconds; what a worker shows beyond the step's load
 * is put down to the fillers there, by how unsure their pressures are. Loads and pressures are
 * followed by a Kalman filter that keeps variances only.
 */
final class BestEffortInterference {
  /** Part of the smallest tail seen that is taken as the tail without any load. */
  private static final double FLOOR_OF_SMALLEST = 0.75;

  /** Target of a tail against the tail without load, where no tail was seen yet. */
  private static final double TARGET_OVER_FLOOR = 6;

  /** Relative noise of a reported tail, as a standard deviation. */
  private static final double TAIL_NOISE = 0.12;

  /** Least noise of a utilization read from a tail, as a standard deviation. */
  private static final double LEAST_NOISE = 0.02;

  /** Drift of a step's own load within a second, as a standard deviation. */
  private static final double LOAD_DRIFT = 0.06;

  /** Deviation of a load of which nothing is known. */
  private static final double UNKNOWN_LOAD_DEVIATION = 0.2;

  /** Largest error that is believed; tails are rough figures with single outliers. */
  private static final double LARGEST_ERROR = 0.4;

  /** Time that a report's figures cover, in milliseconds; nearer reports say the same again. */
  static final long REPORT_WINDOW_MILLIS = 500;

  /** Time after its start in which a serving task's tail says nothing, in milliseconds. */
  private static final long WARM_UP_MILLIS = 1_000;

  private static final int READY_PERCENT = 100;

  private final InterferenceTable table = new InterferenceTable();
  private final Map<String, Double> smallestTail = new HashMap<>();

  /** Weak, since nothing tells here of steps that have ended. */
  private final Map<JobStep, Load> loads = new WeakHashMap<>();

  /** Own load of the tasks of a step. */
  private record Load(double mean, double variance, long steadyMillis) {
    Load at(long nowMillis) {
      double seconds = Math.max(0, nowMillis - steadyMillis) / 1_000.0;
      double drifted = variance + LOAD_DRIFT * LOAD_DRIFT * seconds;
      double most = UNKNOWN_LOAD_DEVIATION * UNKNOWN_LOAD_DEVIATION;
      return new Load(mean, Math.min(most, drifted), nowMillis);
    }
  }

  /** What the fillers of one image used of a worker's processors while a report was made. */
  private record Use(String image, double share) {}

  /** Returns the mean pressure of a filling image over the serving images it was seen beside. */
  double ofImage(String filling) {
    return table.ofImage(filling);
  }

  /** Returns the utilization at which a serving task just meets its target. */
  double limit(StepSpec serving) {
    return Math.max(0, 1 - floor(serving) / serving.tailTargetMillis());
  }

  private double floor(StepSpec serving) {
    double expected = serving.tailTargetMillis() / TARGET_OVER_FLOOR;
    Double smallest = smallestTail.get(serving.image());
    return smallest == null ? expected : FLOOR_OF_SMALLEST * smallest;
  }

  /** Takes in what a worker has just reported. */
  void observe(Worker worker, long nowMillis) {
    double capacity = worker.capacityCpuMillis();
    if (!worker.isServing() || capacity <= 0) {
      return;
    }
    List<Run> serving = new ArrayList<>();
    for (Run run : worker.runs()) {
      if (Worker.serves(run.task().step().spec()) && isWarm(run, nowMillis)) {
        serving.add(run);
      }
    }
    boolean news = worker.latencyLearnedAtMillis() + REPORT_WINDOW_MILLIS <= nowMillis;
    if (serving.isEmpty() || !news) {
      return;
    }
    worker.latencyLearned(nowMillis);
    Collection<Use> uses = uses(worker, capacity, nowMillis);
    for (Run run : serving) {
      learn(run, uses, nowMillis);
    }
  }

  private static boolean isWarm(Run run, long nowMillis) {
    return run.state() == Run.State.RUNNING
        && run.load() > 0
        && run.progressPercent() == READY_PERCENT
        && nowMillis - run.stateSinceMillis() > WARM_UP_MILLIS;
  }

  private static Collection<Use> uses(Worker worker, double capacity, long nowMillis) {
    Map<String, Double> shares = new HashMap<>();
    for (Run run : worker.runs()) {
      StepSpec spec = run.task().step().spec();
      if (spec.filling() && run.load() > 0) {
        shares.merge(spec.image(), run.load() / capacity, Double::sum);
      }
    }
    worker
        .endedFillers(nowMillis)
        .forEach((image, cpuMillis) -> shares.merge(image, cpuMillis / capacity, Double::sum));
    List<Use> uses = new ArrayList<>(shares.size());
    shares.forEach((image, share) -> uses.add(new Use(image, share)));
    return uses;
  }

  private void learn(Run run, Collection<Use> uses, long nowMillis) {
    JobStep step = run.task().step();
    String image = step.spec().image();
    smallestTail.merge(image, (double) run.load(), Math::min);
    double shown = shownUtilization(run);
    double noise = Math.max(LEAST_NOISE, TAIL_NOISE * (1 - shown));
    Load load = loadOf(step).at(nowMillis);
    double pressed = 0;
    double variance = noise * noise + load.variance;
    for (Use use : uses) {
      InterferenceTable.Estimate estimate = table.find(image, use.image, nowMillis);
      pressed += estimate.mean() * use.share;
      variance += estimate.variance() * use.share * use.share;
    }
    double surprise = shown - load.mean - pressed;
    double error = Math.max(-LARGEST_ERROR, Math.min(LARGEST_ERROR, surprise));
    for (Use use : uses) {
      table.correct(image, use.image, use.share, error, variance, nowMillis);
    }
    double gain = load.variance / variance;
    double mean = Math.max(0, Math.min(1, load.mean + gain * error));
    loads.put(step, new Load(mean, load.variance * (1 - gain), nowMillis));
  }

  private Load loadOf(JobStep step) {
    Load known = loads.get(step);
    return known == null
        ? new Load(Run.ASSUMED_UTILIZATION, UNKNOWN_LOAD_DEVIATION * UNKNOWN_LOAD_DEVIATION, 0)
        : known;
  }

  /** Returns the utilization that the tail of a serving task shows; 0 before its first report. */
  double shownUtilization(Run serving) {
    return serving.load() <= 0
        ? 0
        : Math.max(0, 1 - floor(serving.task().step().spec()) / serving.load());
  }

  /**
   * Returns the utilization of a serving task by its step's own load.
   *
   * @return 0 to 1
   */
  double ownUtilization(JobStep serving) {
    return loadOf(serving).mean;
  }

  /**
   * Returns the utilization still free on the tightest serving task of a worker, if all its fillers
   * ran at their paces.
   *
   * @param worker the worker
   * @param headroom part of each limit that is kept free
   * @return utilization left, below 0 where a serving task would be over its limit; 1 where nothing
   *     serves
   */
  double margin(Worker worker, double headroom, long nowMillis) {
    double least = 1;
    List<Run> runs = worker.runs();
    for (Run run : runs) {
      JobStep step = run.task().step();
      StepSpec spec = step.spec();
      if (Worker.serves(spec)) {
        double pressed = pressedOn(spec, runs, worker, nowMillis);
        double free = limit(spec) * (1 - headroom) - ownUtilization(step) - pressed;
        least = Math.min(least, free);
      }
    }
    return least;
  }

  private double pressedOn(StepSpec serving, List<Run> runs, Worker worker, long nowMillis) {
    double sum = 0;
    for (Run run : runs) {
      StepSpec spec = run.task().step().spec();
      if (spec.filling()) {
        sum += added(serving, spec, worker, nowMillis) * run.pacePercent() / 100.0;
      }
    }
    return sum;
  }

  /** Returns what one filling task at full speed adds to a serving task. */
  double added(StepSpec serving, StepSpec filling, Worker worker, long nowMillis) {
    return addedBy(filling, worker)
        * table.find(serving.image(), filling.image(), nowMillis).mean();
  }

  /**
   * Returns what a filling task would add to one of some serving tasks of a worker if its pressures
   * were higher than believed.
   *
   * @param deviations by how many standard deviations
   */
  double mostAdded(
      StepSpec filling,
      Iterable<StepSpec> serving,
      Worker worker,
      double deviations,
      long nowMillis) {
    double most = 0;
    for (StepSpec spec : serving) {
      InterferenceTable.Estimate pair = table.find(spec.image(), filling.image(), nowMillis);
      most = Math.max(most, pair.mean() + deviations * pair.deviation());
    }
    return most * addedBy(filling, worker);
  }

  private static double addedBy(StepSpec filling, Worker worker) {
    return (double) filling.cpuMillis() / Math.max(1, worker.capacityCpuMillis());
  }
}
