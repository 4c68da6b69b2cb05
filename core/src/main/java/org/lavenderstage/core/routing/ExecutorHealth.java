package org.lavenderstage.core.routing;

/** What one entry has measured of one executor: a breaker over failures and a typical latency. */
final class ExecutorHealth {
  private static final int FAILURES_TO_OPEN = 3;
  private static final long INITIAL_OPEN_NANOS = 500_000_000;
  private static final long MAX_OPEN_NANOS = 8_000_000_000L;
  private static final double LATENCY_WEIGHT = 0.1;
  private static final int MIN_SAMPLES = 8;

  private int failures;
  private boolean open;
  private boolean probing;
  private long openNanos = INITIAL_OPEN_NANOS;
  private long openUntil;
  private double logLatency;
  private int samples;
  private long lastSentAt;
  private boolean everSent;

  /** Tells whether the breaker lets a request through; an open one lets one probe through. */
  boolean allows(long now) {
    return !open || (!probing && openUntil - now <= 0);
  }

  /** Notes that a request is sent. */
  void recordSent(long now) {
    lastSentAt = now;
    everSent = true;
    probing |= open;
  }

  boolean isProbeDue(long now, long intervalNanos) {
    return !everSent || now - lastSentAt >= intervalNanos;
  }

  /** Notes an answer; the time is weighed by its logarithm, so that a long one weighs little. */
  void recordAnswer(long elapsedNanos) {
    failures = 0;
    open = false;
    probing = false;
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
      probing = false;
      openUntil = now + openNanos;
    }
  }

  /** Notes a lost answer: a failure, and a latency of at least the time waited. */
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
