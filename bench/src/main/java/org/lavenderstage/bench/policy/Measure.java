package org.lavenderstage.bench.policy;

/**
 * One result of a scenario, with its target.
 *
 * @param name what was measured, with its unit
 * @param baseline figure of the baseline in the same run
 * @param figure figure of the policy under test
 * @param bound bound that the target sets
 * @param sense whether the bound is an upper or a lower bound
 */
public record Measure(String name, double baseline, double figure, double bound, Sense sense) {
  /** The side of the bound on which figures meet the target. */
  public enum Sense {
    /** The figure is at most the bound. */
    AT_MOST,
    /** The figure is at least the bound. */
    AT_LEAST
  }

  /**
   * Returns whether a figure meets the target.
   *
   * @param value the figure
   * @return whether the figure meets the target
   */
  public boolean isMetBy(double value) {
    return sense == Sense.AT_MOST ? value <= bound : value >= bound;
  }
}
