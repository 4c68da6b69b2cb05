package org.lavenderstage.entry.log;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** This entry's part of the appends a second that all entries share, as a token bucket. */
public final class AppendBudget {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.2;

  private final int appendsPerSecond;
  private final IntSupplier liveEntries;
  private final LongSupplier nanoClock;
  private double tokens = 1;
  private long lastNanos;

  /**
   * Makes a bucket.
   *
   * @param appendsPerSecond budget of all entries together
   * @param liveEntries count of the entries that share it
   * @param nanoClock the monotonic clock
   */
  public AppendBudget(int appendsPerSecond, IntSupplier liveEntries, LongSupplier nanoClock) {
    this.appendsPerSecond = appendsPerSecond;
    this.liveEntries = liveEntries;
    this.nanoClock = nanoClock;
    this.lastNanos = nanoClock.getAsLong();
  }

  /**
   * Takes the right to one append.
   *
   * @return false where the budget is spent for now
   */
  public synchronized boolean tryTake() {
    double rate = (double) appendsPerSecond / Math.max(1, liveEntries.getAsInt());
    long now = nanoClock.getAsLong();
    double earned = (now - lastNanos) / NANOS_PER_SECOND * rate;
    tokens = Math.min(Math.max(1, rate * BURST_SECONDS), tokens + earned);
    lastNanos = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns the appends that may be made at once.
   *
   * @return the tokens in the bucket
   */
  public synchronized double tokens() {
    return tokens;
  }
}
