package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/**
 * Keeps filling tasks from harming tasks that serve users. After each report of a worker, the
 * fillers that press hardest on a serving task are slowed until its target holds, and let go again;
 * one that can hardly work there is stopped, where it keeps a checkpoint, to go on elsewhere.
 */
final class InterferenceController {
  /** Part of a limit that is kept free for the load to grow before the next report. */
  private static final double HEADROOM = 0.05;

  /** Fillers that add less to a utilization are left alone while the target holds. */
  private static final double NEGLIGIBLE = 0.01;

  /** Paces are whole steps of so many percent, so that few orders are sent. */
  private static final int PACE_STEP = 20;

  private static final int FULL_PERCENT = 100;

  /** How long a filler stays at the lowest pace before it is moved, in milliseconds. */
  private static final long CROWDED_MILLIS = 1_500;

  /**
   * How long a serving task may be over its target before all that fills beside it pauses, in
   * milliseconds. With the reports before and after, well within the time that counts as harm.
   */
  private static final long OVER_MILLIS = 1_000;

  /**
   * Time from an order until a report shows nothing of the pace before, in milliseconds; the span
   * of a report and as much for the order to take effect.
   */
  private static final long SETTLED_MILLIS = 2 * BestEffortInterference.REPORT_WINDOW_MILLIS;

  private final BestEffortInterference pressure;
  private final RunTracker runs;

  /** When serving tasks were first reported over their targets; weak, since runs end elsewhere. */
  private final Map<Run, Long> overSince = new WeakHashMap<>();

  InterferenceController(BestEffortInterference pressure, RunTracker runs) {
    this.pressure = pressure;
    this.runs = runs;
  }

  /** Takes a worker that has just reported; returns orders to slow or to speed up fillers. */
  List<Order> handleReport(Worker worker, long nowMillis) {
    pressure.observe(worker, nowMillis);
    List<Order> orders = new ArrayList<>();
    if (worker.fillingCount() == 0) {
      return orders;
    }
    Map<Run, Double> shares = shares(worker, nowMillis);
    for (Map.Entry<Run, Double> filler : shares.entrySet()) {
      Run run = filler.getKey();
      int pace = (int) Math.round(filler.getValue() * FULL_PERCENT) / PACE_STEP * PACE_STEP;
      if (pace == run.pacePercent()
          && pace < PACE_STEP
          && run.task().step().spec().checkpointing()
          && nowMillis - run.paceSinceMillis() > CROWDED_MILLIS) {
        runs.stop(run, "it would slow tasks that serve users", nowMillis);
      } else if (pace != run.pacePercent() || run.isPaceUncertain() || isTooFast(run, nowMillis)) {
        run.setPace(pace, nowMillis);
        orders.add(new Order.SetSpeedLimit(worker, run, pace));
      }
    }
    return orders;
  }

  /**
   * Tells whether a run uses more than its pace allows, as after an older order carried out late.
   */
  private static boolean isTooFast(Run run, long nowMillis) {
    return nowMillis - run.paceSinceMillis() > SETTLED_MILLIS
        && impliedSpeedPercent(run.task().step().spec(), run.load())
            > run.pacePercent() + PACE_STEP;
  }

  /** Returns the pace in percent at which a filling task would use so much of the processors. */
  static int impliedSpeedPercent(StepSpec filling, int cpuMillis) {
    return (int) Math.min(FULL_PERCENT, 100L * cpuMillis / Math.max(1, filling.cpuMillis()));
  }

  /**
   * Returns the part of its full speed that each running filler of a worker may work at, in the
   * order of the worker's runs: a run has an identity hash, and an order by that would let chance
   * say which of several equal fillers is slowed.
   */
  private Map<Run, Double> shares(Worker worker, long nowMillis) {
    List<Run> all = worker.runs();
    Map<Run, Double> shares = new LinkedHashMap<>();
    for (Run run : all) {
      if (run.task().step().spec().filling() && run.state() == Run.State.RUNNING) {
        shares.put(run, 1.0);
      }
    }
    for (Run run : all) {
      if (Worker.serves(run.task().step().spec())) {
        restrain(run, worker, shares, nowMillis);
      }
    }
    return shares;
  }

  /** Tells whether a task that serves users was over its target in the last report. */
  static boolean exceedsTarget(Run run) {
    StepSpec spec = run.task().step().spec();
    return Worker.serves(spec) && run.load() > spec.tailTargetMillis();
  }

  private boolean isOverForLong(Run serving, boolean over, long nowMillis) {
    if (!over) {
      overSince.remove(serving);
      return false;
    }
    return nowMillis - overSince.computeIfAbsent(serving, key -> nowMillis) >= OVER_MILLIS;
  }

  /** Lowers the shares of the fillers that press hardest until a serving task is in its target. */
  private void restrain(Run serving, Worker worker, Map<Run, Double> shares, long nowMillis) {
    StepSpec spec = serving.task().step().spec();
    boolean over = exceedsTarget(serving);
    if (isOverForLong(serving, over, nowMillis)) {
      // A queue near its limit shows a tail, not by how much it is overloaded.
      shares.replaceAll((run, share) -> 0.0);
      return;
    }
    double limit = pressure.limit(spec) * (1 - HEADROOM);
    double expected = pressure.ownUtilization(serving.task().step()) - limit;
    double measured = pressure.shownUtilization(serving) - limit;
    Map<Run, Double> added = new LinkedHashMap<>();
    for (Map.Entry<Run, Double> filler : shares.entrySet()) {
      Run run = filler.getKey();
      double full = pressure.added(spec, run.task().step().spec(), worker, nowMillis);
      expected += full * filler.getValue();
      measured += full * (filler.getValue() - run.pacePercent() / (double) FULL_PERCENT);
      if (over || full >= NEGLIGIBLE) {
        added.put(run, full);
      }
    }
    double excess = over ? Math.max(expected, measured) : expected;
    List<Map.Entry<Run, Double>> heaviest = new ArrayList<>(added.entrySet());
    heaviest.sort(Map.Entry.comparingByValue(Comparator.reverseOrder()));
    for (Map.Entry<Run, Double> filler : heaviest) {
      if (excess <= 0) {
        return;
      }
      double full = filler.getValue();
      double before = shares.get(filler.getKey());
      double after = Math.max(0, before - excess / Math.max(Double.MIN_NORMAL, full));
      shares.put(filler.getKey(), after);
      excess -= full * (before - after);
    }
  }
}
