package org.lavenderstage.core.placement;

/** Defines how a planner protects services from interference by batch tasks. */
public sealed interface ProtectionPolicy {
  /** Packs workers without protecting services. */
  record Unprotected() implements ProtectionPolicy {}

  /**
   * Packs workers, and evicts the largest task from a worker whose measured service latency is too
   * high.
   *
   * @param increaseLimit the relative latency increase above which a task is evicted; 0.1 is 10 %
   */
  record EvictOnly(double increaseLimit) implements ProtectionPolicy {}

  /**
   * Prefers to place tasks on other workers, then throttles them, and evicts them as the last
   * resort.
   *
   * @param placeLimit the expected relative latency increase up to which tasks are placed on the
   *     worker of a service
   * @param throttleLimit the expected relative latency increase above which tasks are throttled
   */
  record Graded(double placeLimit, double throttleLimit) implements ProtectionPolicy {}

  /** The graded policy with default limits. */
  ProtectionPolicy GRADED = new Graded(0.10, 0.13);
}
