package org.lavenderstage.core.placement;

/** How a planner keeps batch work from disturbing services. */
public sealed interface ProtectionPolicy {
  /** Packs workers and protects nothing. */
  record Ignore() implements ProtectionPolicy {}

  /**
   * Packs workers and evicts the largest task where a service was measured too slow.
   *
   * @param riseLimit rise of the latency from which a task is evicted, where 0.1 is one tenth
   */
  record EvictOnly(double riseLimit) implements ProtectionPolicy {}

  /**
   * Places elsewhere first, throttles next and evicts last.
   *
   * @param placeLimit expected rise up to which tasks are placed beside a service
   * @param throttleLimit expected rise from which tasks are throttled
   */
  record Graded(double placeLimit, double throttleLimit) implements ProtectionPolicy {}

  /** The graded policy with the default limits. */
  ProtectionPolicy GRADED = new Graded(0.10, 0.13);
}
