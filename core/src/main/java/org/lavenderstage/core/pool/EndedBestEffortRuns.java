package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/** Filling tasks of one worker that have ended, while their use still shows in its reports. */
final class EndedBestEffortRuns {
  private final Deque<EndedFiller> fillers = new ArrayDeque<>();

  /** A filling task that has ended, with the processors that it used last. */
  private record EndedFiller(String image, int cpuMillis, long endedAtMillis) {}

  /** Notes that a run has ended, whose use of processors still shows in the next report. */
  void add(Run run, long monotonicMillis) {
    StepSpec spec = run.task().step().spec();
    if (spec.filling() && run.load() > 0) {
      fillers.add(new EndedFiller(spec.image(), run.load(), monotonicMillis));
    }
  }

  /** Returns by image what fillers used in the span of a report made now, and no longer use. */
  Map<String, Double> residualCpuMillis(long monotonicMillis) {
    long span = BestEffortInterference.REPORT_WINDOW_MILLIS;
    fillers.removeIf(filler -> monotonicMillis - filler.endedAtMillis >= span);
    Map<String, Double> used = new HashMap<>();
    for (EndedFiller filler : fillers) {
      double part = 1 - (double) (monotonicMillis - filler.endedAtMillis) / span;
      used.merge(filler.image, filler.cpuMillis * part, Double::sum);
    }
    return used;
  }
}
