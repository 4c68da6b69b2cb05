package org.lavenderstage.core.routing;

/** One entry's measurements of one executor: a circuit breaker and an average latency. */
final class ExecutorHealth {
  private static final int FAILURES_TO_OPEN = 3;
  private static final long INITIAL_OPEN_NANOS = 500_000_000;
  private static final long MAX_OPEN_NANOS = 8_000_000_000L;
  private static final double LATENCY_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 8;

  private int failures;
  private boolean open;
  private boolean probeInFlight;
  private long openNanos = INITIAL_OPEN_NANOS;
  private long openUntil;
  private double logLatency;
  private int samples;
  private long lastSentAt;
  private boolean everSent;

  /**
   * Returns whether the circuit breaker admits a request; if open, it admits one probe at a time.
   */
  boolean allows(long now) {
    return !open || (!probeInFlight && openUntil - now <= 0);
  }

  /** Records that a request was sent. */
  void recordSent(long now) {
    lastSentAt = now;
    everSent = true;
    probeInFlight |= open;
  }

  boolean isProbeDue(long now, long intervalNanos) {
    return !everSent || now - lastSentAt >= intervalNanos;
  }

  /**
   * Records an answer. Latencies are averaged by their logarithms, so that a single slow answer has
   * little effect.
   */
  void recordAnswer(long elapsedNanos) {
    failures = 0;
    open = false;
    probeInFlight = false;
    openNanos = INITIAL_OPEN_NANOS;
    recordLatency(elapsedNanos);
  }

  private void recordLatency(long nanos) {
    samples++;
    double weight = Math.max(LATENCY_WEIGHT, 1.0 / samples);
    logLatency += (Math.log((double) Math.max(1, nanos)) - logLatency) * weight;
  }

  void recordFailure(long now) {
    failures++;
    if (open || failures >= FAILURES_TO_OPEN) {
      openNanos = open ? Math.min(MAX_OPEN_NANOS, openNanos * 2) : INITIAL_OPEN_NANOS;
      open = true;
      probeInFlight = false;
      openUntil = now + openNanos;
    }
  }

  /** Records a lost answer: a failure, with the time waited as a lower bound of the latency. */
  void recordLost(long elapsedNanos, long now) {
    recordLatency(elapsedNanos);
    recordFailure(now);
  }

  boolean isMeasured() {
    return samples >= MIN_SAMPLES;
  }

  double logLatency() {
    return logLatency;
  }
}
