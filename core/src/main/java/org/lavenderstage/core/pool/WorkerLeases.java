package org.lavenderstage.core.pool;

/**
 * Counts how long the leases of workers may last. An order that an unknown incarnation has carried
 * out names the end of its lease on another clock.
 */
final class WorkerLeases {
  /** Largest error of the owner's estimate of a worker's clock, in milliseconds. */
  private static final long MAX_CLOCK_ERROR_MILLIS = 500;

  /**
   * Longest time from sending an order to its execution in milliseconds; delays of 12 s have
   * occurred.
   */
  static final long MAX_ORDER_DELAY_MILLIS = 15_000;

  private final PoolTiming timing;

  WorkerLeases(PoolTiming timing) {
    this.timing = timing;
  }

  /** Grants a new lease and returns its end on the worker's clock. */
  long grant(Worker worker, long nowMillis) {
    worker.lease().extend(nowMillis + timing.longestLeaseMillis());
    worker.lease().recordOrder(nowMillis);
    return worker.clockAt(nowMillis) + timing.leaseMillis();
  }

  /**
   * Extends the lease by the longest that the worker grants: an incarnation that the owner does not
   * know may have carried out an order until now, which names the end of its lease on the clock of
   * the previous incarnation.
   */
  void extendForeign(Worker worker, long nowMillis) {
    worker.lease().extend(nowMillis + timing.longestForeignLeaseMillis());
  }

  /**
   * Returns the monotonic time after which no run has a valid lease, even if the worker restarted
   * unnoticed and its new incarnation, which knows no token, carried out the orders late that its
   * previous one had received.
   */
  long lateLeaseExpiryMillis(Worker worker) {
    return worker.lease().lastOrderMillis()
        + MAX_ORDER_DELAY_MILLIS
        + timing.longestForeignLeaseMillis();
  }

  /** Returns whether no order that was sent until a monotonic time is carried out any more. */
  boolean areDelayedOrdersOver(long lastOrderMillis, long nowMillis) {
    return nowMillis > lastOrderMillis + MAX_ORDER_DELAY_MILLIS;
  }

  /**
   * Returns whether the answer to a start shows a clock that was set back since the last report.
   */
  boolean isOnOtherClock(Order.Start start, OrderResult result) {
    return result instanceof OrderResult.Accepted accepted
        && accepted.clockMillis() + MAX_CLOCK_ERROR_MILLIS
            < start.leaseUntilMillis() - timing.leaseMillis();
  }
}
