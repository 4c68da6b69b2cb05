package org.lavenderstage.bench.policy;

/**
 * One figure of a case.
 *
 * @param name what was measured, with its unit
 * @param baseline figure of the baseline in the same run
 * @param figure figure of the candidate
 * @param bound the target in numbers
 * @param sense whether the figure must stay below or above the bound
 */
public record Measure(String name, double baseline, double figure, double bound, Sense sense) {
  /** Which side of the bound is met. */
  public enum Sense {
    /** The figure is at most the bound. */
    AT_MOST,
    /** The figure is at least the bound. */
    AT_LEAST
  }

  /**
   * Tells whether a figure meets the target.
   *
   * @param value the figure
   * @return whether it is on the right side of the bound
   */
  public boolean isMetBy(double value) {
    return sense == Sense.AT_MOST ? value <= bound : value >= bound;
  }
}
