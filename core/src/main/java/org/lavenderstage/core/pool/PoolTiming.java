package org.lavenderstage.core.pool;

/**
 * Durations of leases and of the allowances for them, from the platform's settings.
 *
 * @param leaseMillis length of the leases of runs in milliseconds, at most the longest that workers
 *     grant
 * @param maxLeaseMillis longest lease that workers grant, in milliseconds; a worker grants it where
 *     an order names the end of a lease on the clock of a previous incarnation
 * @param leaseOverrunMillis how long runs may continue after their lease on a worker that was
 *     frozen, in milliseconds
 * @param previousOwnerRenewalMillis how long a previous owner that lost access to the store may
 *     continue to renew leases, in milliseconds
 */
public record PoolTiming(
    long leaseMillis,
    long maxLeaseMillis,
    long leaseOverrunMillis,
    long previousOwnerRenewalMillis) {
  /** Largest deviation of the rate of a clock, as a fraction; both clocks may deviate. */
  private static final double MAX_CLOCK_DRIFT = 0.02;

  /**
   * Returns how long runs may continue after a renewal of their lease was sent.
   *
   * @return milliseconds of this process's clock, for the slowest possible clock of the worker
   */
  public long longestLeaseMillis() {
    return withDrift(leaseMillis) + leaseOverrunMillis;
  }

  /**
   * Returns how long runs may continue after an order was carried out that names the end of a lease
   * on the clock of another incarnation of the worker.
   *
   * @return milliseconds of this process's clock, for the slowest possible clock of the worker
   */
  public long longestForeignLeaseMillis() {
    return withDrift(maxLeaseMillis) + leaseOverrunMillis;
  }

  private static long withDrift(long millis) {
    return Math.round(millis * (1 + MAX_CLOCK_DRIFT) * (1 + MAX_CLOCK_DRIFT));
  }

  /**
   * Returns the timing to use when the process with the last claim is known to have ended. The
   * owners before it may not have learned of that claim, so the allowance for them counts from it.
   *
   * @param claimAgeMillis least time since that claim, in milliseconds
   * @return the same timing, with the remaining allowance for renewals by previous owners
   */
  public PoolTiming afterEndOfPreviousOwner(long claimAgeMillis) {
    return new PoolTiming(
        leaseMillis,
        maxLeaseMillis,
        leaseOverrunMillis,
        Math.max(0, previousOwnerRenewalMillis - claimAgeMillis));
  }
}
