package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.placement.Resources;

/**
 * Predicts the free capacity of a worker from its short runs, which are neither long-running nor
 * best-effort and release their resources soon.
 */
final class CapacityForecast {
  private CapacityForecast() {}

  /** Returns the free capacity once all short runs have ended. */
  static Resources freeAfterShortRuns(Worker worker) {
    Resources available = worker.free();
    for (Run run : shortRuns(worker)) {
      available = available.plus(demand(run));
    }
    return available;
  }

  /**
   * Returns the monotonic time in milliseconds at which a demand is expected to fit, by the
   * estimates of the short runs; the time of the last end where it never fits.
   */
  static long fitsAtMillis(Worker worker, Resources demand, long nowMillis) {
    List<Run> byEnd = shortRuns(worker);
    byEnd.sort(Comparator.comparingLong(run -> expectedEndMillis(run, nowMillis)));
    Resources available = worker.free();
    long fitsAt = nowMillis;
    for (Run run : byEnd) {
      if (demand.fitsIn(available)) {
        break;
      }
      available = available.plus(demand(run));
      fitsAt = Math.max(fitsAt, expectedEndMillis(run, nowMillis));
    }
    return fitsAt;
  }

  private static List<Run> shortRuns(Worker worker) {
    List<Run> runs = new ArrayList<>();
    for (Run run : worker.runs()) {
      StepSpec spec = run.task().step().spec();
      if (!spec.lasting() && !spec.filling()) {
        runs.add(run);
      }
    }
    return runs;
  }

  private static Resources demand(Run run) {
    return Worker.demand(run.task().step().spec());
  }

  /** Returns when a run is expected to end; one over its estimate by a time takes as long again. */
  private static long expectedEndMillis(Run run, long nowMillis) {
    long estimatedEnd = run.stateSinceMillis() + run.task().step().spec().estimateMillis();
    return estimatedEnd >= nowMillis ? estimatedEnd : nowMillis + (nowMillis - estimatedEnd);
  }
}
