package org.lavenderstage.core.pool;

/**
 * Times of the pool, from the platform's settings.
 *
 * @param leaseMillis length of the leases of runs; at most the longest that workers grant
 * @param leaseOverrunMillis how long runs may outlive their lease on a worker that was frozen
 * @param previousOwnerRenewalMillis how long a former owner that lost the store may go on renewing
 *     leases
 */
public record PoolTiming(
    long leaseMillis, long leaseOverrunMillis, long previousOwnerRenewalMillis) {
  private static final double CLOCK_DRIFT = 0.02;

  /**
   * Returns how long after a renewal was sent the lease may last, by this process's clock.
   *
   * @return milliseconds, with the worker's clock at its slowest
   */
  public long longestLeaseMillis() {
    return Math.round(leaseMillis * (1 + CLOCK_DRIFT) * (1 + CLOCK_DRIFT)) + leaseOverrunMillis;
  }

  /**
   * Returns the times where the former owner's process has certainly ended.
   *
   * @return the same times, but for a former owner that renews nothing any more
   */
  public PoolTiming withoutPreviousOwner() {
    return new PoolTiming(leaseMillis, leaseOverrunMillis, 0);
  }
}
