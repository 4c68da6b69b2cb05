package org.lavenderstage.bench.load;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * The results of a load run.
 *
 * @param micros latency from the due time to the complete response in microseconds, failures
 *     included
 * @param answered number of requests with a complete response
 * @param failed number of requests without a complete response
 */
record LoadResult(Histogram micros, long answered, long failed) {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double P50 = 50;
  private static final double P99 = 99;
  private static final double P999 = 99.9;

  /** Formats the result as one line. */
  String line(String name) {
    return String.format(
        Locale.ROOT,
        "%-7s answered=%d failed=%d p50_ms=%.3f p99_ms=%.3f p999_ms=%.3f max_ms=%.3f",
        name,
        answered,
        failed,
        millis(P50),
        millis(P99),
        millis(P999),
        micros.getMaxValue() / MICROS_PER_MILLI);
  }

  /** Formats the latency that this path adds to a shorter one: the differences of percentiles. */
  String added(LoadResult shorter) {
    return String.format(
        Locale.ROOT,
        "%-7s p50_ms=%.3f p99_ms=%.3f p999_ms=%.3f",
        "added",
        millis(P50) - shorter.millis(P50),
        millis(P99) - shorter.millis(P99),
        millis(P999) - shorter.millis(P999));
  }

  private double millis(double percentile) {
    return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
