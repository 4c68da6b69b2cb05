package org.lavenderstage.bench.request;

import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Records the latencies, from their arrival, of the calls that a filter selects. */
class LatencyLog implements CallLog {
  private static final long MAX_MICROS = 600_000_000;
  private static final int DIGITS = 3;
  private static final long CLIENT_MICROS = 6_000;
  private static final double PERCENTILE = 99;
  private static final double MICROS_PER_MILLI = 1000;

  private final Histogram histogram = new Histogram(MAX_MICROS, DIGITS);
  private final Predicate<Call> filter;
  private long refused;

  LatencyLog(Predicate<Call> filter) {
    this.filter = filter;
  }

  /** Creates a log of the calls that arrive in an interval. */
  static LatencyLog between(long fromNanos, long untilNanos) {
    return new LatencyLog(call -> call.atNanos >= fromNanos && call.atNanos < untilNanos);
  }

  @Override
  public void answered(Call call, long nowNanos) {
    if (filter.test(call)) {
      histogram.recordValue(Math.min(MAX_MICROS, micros(call, nowNanos)));
    }
  }

  private static long micros(Call call, long nowNanos) {
    return (nowNanos - call.atNanos) / 1000 + CLIENT_MICROS;
  }

  @Override
  public void refused(Call call, long nowNanos, long retryAfterNanos) {
    if (filter.test(call)) {
      refused++;
    }
  }

  /** Returns the 99th percentile in milliseconds, or the maximum if no call was answered. */
  double p99Millis() {
    if (histogram.getTotalCount() == 0) {
      return MAX_MICROS / MICROS_PER_MILLI;
    }
    return histogram.getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI;
  }

  long answered() {
    return histogram.getTotalCount();
  }

  long refused() {
    return refused;
  }
}
