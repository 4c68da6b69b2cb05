package org.lavenderstage.launcher.demo;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.lavenderstage.core.outcome.Outcome;

/** Collects the outcomes and latencies that callers observe. */
final class DemoStatistics {
  private static final long MAX_MICROS = 60_000_000;
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000;

  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram latencyMicros = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private long wrong;

  synchronized void recordOutcome(Outcome outcome, long micros) {
    outcomes.merge(outcome, 1L, Long::sum);
    if (outcome == Outcome.ANSWERED) {
      latencyMicros.recordValue(Math.min(micros, MAX_MICROS));
    }
  }

  synchronized void wrong() {
    wrong++;
  }

  synchronized long wrongAnswers() {
    return wrong;
  }

  synchronized long count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0L);
  }

  double percentileMillis(double percentile) {
    return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
