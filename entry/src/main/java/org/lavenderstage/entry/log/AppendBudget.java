package org.lavenderstage.entry.log;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Token bucket for this entry's share of the append rate that is allowed to all entries together.
 */
public final class AppendBudget {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.2;

  private final int appendsPerSecond;
  private final IntSupplier liveEntryCount;
  private final LongSupplier nanoClock;
  private double tokens = 1;
  private long lastNanos;

  /**
   * Creates a bucket that holds one token.
   *
   * @param appendsPerSecond rate for all entries together, in appends per second
   * @param liveEntryCount returns the number of live entries that share the rate
   * @param nanoClock monotonic clock in nanoseconds
   */
  public AppendBudget(int appendsPerSecond, IntSupplier liveEntryCount, LongSupplier nanoClock) {
    this.appendsPerSecond = appendsPerSecond;
    this.liveEntryCount = liveEntryCount;
    this.nanoClock = nanoClock;
    this.lastNanos = nanoClock.getAsLong();
  }

  /**
   * Acquires a token for one append.
   *
   * @return false if no token is available at present
   */
  public synchronized boolean tryAcquire() {
    double tokensPerSecond = (double) appendsPerSecond / Math.max(1, liveEntryCount.getAsInt());
    long now = nanoClock.getAsLong();
    double refill = (now - lastNanos) / NANOS_PER_SECOND * tokensPerSecond;
    tokens = Math.min(Math.max(1, tokensPerSecond * BURST_SECONDS), tokens + refill);
    lastNanos = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns the number of available tokens.
   *
   * @return appends that may be made at once, as of the last attempt to acquire a token
   */
  public synchronized double tokens() {
    return tokens;
  }
}
