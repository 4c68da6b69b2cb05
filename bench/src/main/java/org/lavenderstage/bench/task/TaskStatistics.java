package org.lavenderstage.bench.task;

import java.util.Arrays;
import org.HdrHistogram.Histogram;

/** Statistics of a run of the simulation model. */
final class TaskStatistics {
  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;

  final Histogram[] latencies = new Histogram[HiddenInterference.SERVICES];
  final Histogram urgentStartMillis = new Histogram(DIGITS);
  final long[] evictions = new long[TaskCase.WORKSPACES];
  double usefulCoreMillis;
  double ranCoreMillis;
  double lostCoreMillis;
  long slowestCancelMillis;
  int runnableJobsFailed;
  int impossibleJobsFailed;
  int maxFaultyWorkerStartsPerHour;
  long throttles;
  long learnMillis = -1;

  TaskStatistics() {
    Arrays.setAll(latencies, i -> new Histogram(MAX_MICROS, DIGITS));
  }

  long totalEvictions() {
    return Arrays.stream(evictions).sum();
  }

  /** Returns Jain's fairness index of the evictions per workspace, 1 if there were none. */
  double evictionFairness() {
    double sum = totalEvictions();
    double squares = Arrays.stream(evictions).mapToDouble(count -> (double) count * count).sum();
    return squares == 0 ? 1 : sum * sum / (evictions.length * squares);
  }

  double lostFraction() {
    return ranCoreMillis == 0 ? 0 : lostCoreMillis / ranCoreMillis;
  }

  /**
   * Returns the largest ratio, over the services, of the 99th percentile to that of another run.
   */
  double worstTailLatencyRatio(TaskStatistics other) {
    double worst = 0;
    for (int s = 0; s < latencies.length; s++) {
      double own = latencies[s].getValueAtPercentile(99);
      worst = Math.max(worst, own / other.latencies[s].getValueAtPercentile(99));
    }
    return worst;
  }
}
