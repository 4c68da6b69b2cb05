package org.lavenderstage.core.pool;

/** Counts until when runs on a worker may have a valid lease, as far as their owner knows. */
final class LeaseCount {
  private long expiryMillis;
  private long lastOrderMillis = Long.MIN_VALUE / 2;

  /** Returns the monotonic time after which no run has a valid lease. */
  long expiryMillis() {
    return expiryMillis;
  }

  void extend(long leaseEndMillis) {
    expiryMillis = Math.max(expiryMillis, leaseEndMillis);
  }

  /** Records that the current incarnation of the worker and its runs have ended. */
  void expire(long monotonicMillis) {
    expiryMillis = monotonicMillis - 1;
  }

  /** Returns the monotonic time of the last order that may have granted or renewed a lease. */
  long lastOrderMillis() {
    return lastOrderMillis;
  }

  void recordOrder(long monotonicMillis) {
    lastOrderMillis = Math.max(lastOrderMillis, monotonicMillis);
  }
}
