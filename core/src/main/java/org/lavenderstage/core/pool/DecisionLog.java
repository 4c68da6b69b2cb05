package org.lavenderstage.core.pool;

/** Logs the decisions of the scheduler. */
@FunctionalInterface
public interface DecisionLog {
  /**
   * Logs one decision.
   *
   * @param decision the decision or observation
   * @param namesAndValues alternating names and values of the inputs
   */
  void record(Decision decision, Object... namesAndValues);
}
