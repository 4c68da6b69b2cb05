package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/**
 * The best-effort runs of one worker that have ended, as long as its reports still include their
 * processor use.
 */
final class EndedBestEffortRuns {
  private final Deque<EndedRun> endedRuns = new ArrayDeque<>();

  /**
   * A best-effort run that has ended, with its last reported processor use in thousandths of a
   * core.
   */
  private record EndedRun(String image, int cpuMillis, long endedAtMillis) {}

  /** Adds a run that has ended; runs that are not best-effort or used no processors are ignored. */
  void add(Run run, long nowMillis) {
    StepSpec spec = run.task().step().spec();
    if (spec.filling() && run.load() > 0) {
      endedRuns.add(new EndedRun(spec.image(), run.load(), nowMillis));
    }
  }

  /**
   * Returns the processor use of ended runs that a report made now still includes, by image, in
   * thousandths of a core averaged over the report's window.
   */
  Map<String, Double> residualCpuMillis(long nowMillis) {
    long windowMillis = BestEffortInterference.REPORT_WINDOW_MILLIS;
    endedRuns.removeIf(endedRun -> nowMillis - endedRun.endedAtMillis >= windowMillis);
    Map<String, Double> cpuByImage = new HashMap<>();
    for (EndedRun endedRun : endedRuns) {
      double overlap = 1 - (double) (nowMillis - endedRun.endedAtMillis) / windowMillis;
      cpuByImage.merge(endedRun.image, endedRun.cpuMillis * overlap, Double::sum);
    }
    return cpuByImage;
  }
}
