package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.placement.Resources;

/**
 * Foretells the room of a worker from its short runs, those that neither last nor fill and give
 * their room back soon.
 */
final class CapacityForecast {
  private CapacityForecast() {}

  /** Returns the room that is left once all short runs have ended. */
  static Resources finalRoom(Worker worker) {
    Resources room = worker.free();
    for (Run run : shortRuns(worker)) {
      room = room.plus(demand(run));
    }
    return room;
  }

  /**
   * Returns when a demand fits by the estimates of the short runs, in steady milliseconds; the time
   * of the last end where it never does.
   */
  static long fitsAtMillis(Worker worker, Resources demand, long monotonicMillis) {
    List<Run> byEnd = shortRuns(worker);
    byEnd.sort(Comparator.comparingLong(CapacityForecast::estimatedEndMillis));
    Resources room = worker.free();
    long at = monotonicMillis;
    for (Run run : byEnd) {
      if (demand.fitsIn(room)) {
        break;
      }
      room = room.plus(demand(run));
      at = Math.max(at, estimatedEndMillis(run));
    }
    return at;
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

  private static long estimatedEndMillis(Run run) {
    return run.stateSinceMillis() + run.task().step().spec().estimateMillis();
  }
}
