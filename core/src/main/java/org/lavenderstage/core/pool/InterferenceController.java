package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/**
 * Limits the interference of best-effort tasks with serving tasks. After each report of a worker,
 * the best-effort tasks that interfere most with a serving task are slowed until its latency target
 * is met, and sped up again when its load allows. A best-effort task that would be paused for long
 * is stopped, if it supports checkpoints, to continue on another worker.
 */
final class InterferenceController {
  /** Fraction of a utilization limit that is kept free for load growth before the next report. */
  private static final double HEADROOM = 0.05;

  /** Added utilization below which a best-effort task is not slowed while the target is met. */
  private static final double NEGLIGIBLE_UTILIZATION = 0.01;

  /** Granularity of speed limits in percent, so that few orders are sent. */
  private static final int SPEED_STEP_PERCENT = 20;

  private static final int FULL_PERCENT = 100;

  /** Time for which a best-effort task is paused before it is stopped, in milliseconds. */
  private static final long STOP_DELAY_MILLIS = 1_500;

  /**
   * The same for a task that was started at reduced speed because no worker suits it better, in
   * milliseconds; another worker may suit it by then.
   */
  private static final long REDUCED_SPEED_STOP_DELAY_MILLIS = 6_000;

  /**
   * Time for which a serving task may exceed its target before all best-effort tasks of the worker
   * are paused, in milliseconds. Including the reports before and after, this is well within the
   * time over target that the users accept.
   */
  private static final long MAX_OVER_TARGET_MILLIS = 1_000;

  /**
   * Time from a speed order until reports no longer include the previous speed, in milliseconds:
   * the window of a report, and the same again for the order to take effect.
   */
  private static final long SETTLING_MILLIS = 2 * BestEffortInterference.REPORT_WINDOW_MILLIS;

  private final BestEffortInterference interference;
  private final RunTracker runs;

  /**
   * Start of the time over target of each serving task. Weak, since this class is not notified when
   * runs end.
   */
  private final Map<Run, Long> overTargetSince = new WeakHashMap<>();

  InterferenceController(BestEffortInterference interference, RunTracker runs) {
    this.interference = interference;
    this.runs = runs;
  }

  /** Handles a report of a worker; returns orders that slow or speed up its best-effort tasks. */
  List<Order> handleReport(Worker worker, long nowMillis) {
    interference.observe(worker, nowMillis);
    List<Order> orders = new ArrayList<>();
    if (worker.bestEffortCount() == 0) {
      return orders;
    }
    Map<Run, Double> speeds = allowedSpeeds(worker, nowMillis);
    for (Map.Entry<Run, Double> entry : speeds.entrySet()) {
      Run run = entry.getKey();
      int speedPercent =
          (int) Math.round(entry.getValue() * FULL_PERCENT)
              / SPEED_STEP_PERCENT
              * SPEED_STEP_PERCENT;
      if (speedPercent == run.speedLimitPercent()
          && speedPercent < SPEED_STEP_PERCENT
          && run.task().step().spec().checkpointing()
          && nowMillis - run.speedLimitSinceMillis() > stopDelayMillis(run)) {
        runs.stop(run, "paused for too long beside serving tasks", nowMillis);
      } else if (speedPercent != run.speedLimitPercent()
          || run.isSpeedLimitUncertain()
          || exceedsSpeedLimit(run, nowMillis)) {
        run.setSpeedLimit(speedPercent, nowMillis);
        orders.add(new Order.SetSpeedLimit(worker, run, speedPercent));
      }
    }
    return orders;
  }

  private static long stopDelayMillis(Run run) {
    return run.isStartedAtReducedSpeed() ? REDUCED_SPEED_STOP_DELAY_MILLIS : STOP_DELAY_MILLIS;
  }

  /** Returns the order that applies the speed limit of a run which has just been started. */
  static Optional<Order> initialSpeedLimit(Worker worker, Run run) {
    return run.isStartedAtReducedSpeed()
            && run.state() == Run.State.RUNNING
            && run.isSpeedLimitUncertain()
        ? Optional.of(new Order.SetSpeedLimit(worker, run, run.speedLimitPercent()))
        : Optional.empty();
  }

  /**
   * Returns whether a run uses more processors than its speed limit allows, for example because an
   * older order was carried out late.
   */
  private static boolean exceedsSpeedLimit(Run run, long nowMillis) {
    return nowMillis - run.speedLimitSinceMillis() > SETTLING_MILLIS
        && impliedSpeedPercent(run.task().step().spec(), run.load())
            > run.speedLimitPercent() + SPEED_STEP_PERCENT;
  }

  /**
   * Returns the speed in percent at which a best-effort task would have the given processor use.
   */
  static int impliedSpeedPercent(StepSpec bestEffort, int cpuMillis) {
    return (int) Math.min(FULL_PERCENT, 100L * cpuMillis / Math.max(1, bestEffort.cpuMillis()));
  }

  /**
   * Returns the fraction of its full speed that each running best-effort task of a worker is
   * allowed, in the order of the worker's runs. In the order of identity hashes it would be random
   * which of several equal tasks is slowed.
   */
  private Map<Run, Double> allowedSpeeds(Worker worker, long nowMillis) {
    List<Run> workerRuns = worker.runs();
    Map<Run, Double> speeds = new LinkedHashMap<>();
    for (Run run : workerRuns) {
      if (run.task().step().spec().filling() && run.state() == Run.State.RUNNING) {
        speeds.put(run, run.maxSpeedPercent() / (double) FULL_PERCENT);
      }
    }
    for (Run run : workerRuns) {
      if (Worker.serves(run.task().step().spec())) {
        limitSpeeds(run, worker, speeds, nowMillis);
      }
    }
    return speeds;
  }

  /**
   * Returns whether a run is a serving task that exceeded its latency target in the last report.
   */
  static boolean exceedsTarget(Run run) {
    StepSpec spec = run.task().step().spec();
    return Worker.serves(spec) && run.load() > spec.tailTargetMillis();
  }

  private boolean isOverTargetTooLong(Run serving, boolean overTarget, long nowMillis) {
    if (!overTarget) {
      overTargetSince.remove(serving);
      return false;
    }
    return nowMillis - overTargetSince.computeIfAbsent(serving, key -> nowMillis)
        >= MAX_OVER_TARGET_MILLIS;
  }

  /**
   * Lowers the speeds of the best-effort tasks that interfere most until a serving task is within
   * its limit.
   */
  private void limitSpeeds(Run serving, Worker worker, Map<Run, Double> speeds, long nowMillis) {
    StepSpec spec = serving.task().step().spec();
    boolean overTarget = exceedsTarget(serving);
    if (isOverTargetTooLong(serving, overTarget, nowMillis)) {
      // The tail latency of a saturated queue does not show how much it is overloaded.
      speeds.replaceAll((run, speed) -> 0.0);
      return;
    }
    double limit = interference.utilizationLimit(spec) * (1 - HEADROOM);
    double expected = interference.baseUtilization(serving.task().step()) - limit;
    double measured = interference.observedUtilization(serving) - limit;
    Map<Run, Double> effects = new LinkedHashMap<>();
    for (Map.Entry<Run, Double> entry : speeds.entrySet()) {
      Run run = entry.getKey();
      double fullSpeedEffect =
          interference.addedBy(spec, run.task().step().spec(), worker, nowMillis);
      expected += fullSpeedEffect * entry.getValue();
      measured +=
          fullSpeedEffect * (entry.getValue() - run.speedLimitPercent() / (double) FULL_PERCENT);
      if (overTarget || fullSpeedEffect >= NEGLIGIBLE_UTILIZATION) {
        effects.put(run, fullSpeedEffect);
      }
    }
    double excess = overTarget ? Math.max(expected, measured) : expected;
    List<Map.Entry<Run, Double>> heaviest = new ArrayList<>(effects.entrySet());
    heaviest.sort(Map.Entry.comparingByValue(Comparator.reverseOrder()));
    for (Map.Entry<Run, Double> entry : heaviest) {
      if (excess <= 0) {
        return;
      }
      double fullSpeedEffect = entry.getValue();
      double before = speeds.get(entry.getKey());
      double after = Math.max(0, before - excess / Math.max(Double.MIN_NORMAL, fullSpeedEffect));
      speeds.put(entry.getKey(), after);
      excess -= fullSpeedEffect * (before - after);
    }
  }
}
