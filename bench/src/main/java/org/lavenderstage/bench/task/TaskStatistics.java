package org.lavenderstage.bench.task;

import java.util.Arrays;
import org.HdrHistogram.Histogram;

/** What a run of the model counted. */
final class TaskTally {
  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;

  final Histogram[] latencies = new Histogram[HiddenInterference.SERVICES];
  final Histogram urgentStartMillis = new Histogram(DIGITS);
  final long[] evictions = new long[TaskCase.WORKSPACES];
  double usefulCoreMillis;
  double ranCoreMillis;
  double lostCoreMillis;
  long slowestCancelMillis;
  int goodJobsFailed;
  int impossibleEnded;
  int worstProbesPerHour;
  long throttles;
  long learnMillis = -1;

  TaskTally() {
    Arrays.setAll(latencies, i -> new Histogram(MAX_MICROS, DIGITS));
  }

  long evictionsInAll() {
    return Arrays.stream(evictions).sum();
  }

  /** Jain's index over the evictions of the workspaces, 1 for none at all. */
  double evictionFairness() {
    double sum = evictionsInAll();
    double squares = Arrays.stream(evictions).mapToDouble(count -> (double) count * count).sum();
    return squares == 0 ? 1 : sum * sum / (evictions.length * squares);
  }

  double lostPart() {
    return ranCoreMillis == 0 ? 0 : lostCoreMillis / ranCoreMillis;
  }

  /** The largest ratio of a service's 99th percentile to that of another run. */
  double worstTailRatio(TaskTally other) {
    double worst = 0;
    for (int s = 0; s < latencies.length; s++) {
      double own = latencies[s].getValueAtPercentile(99);
      worst = Math.max(worst, own / other.latencies[s].getValueAtPercentile(99));
    }
    return worst;
  }
}
