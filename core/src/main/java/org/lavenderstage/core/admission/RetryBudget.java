package org.lavenderstage.core.admission;

/** Lets extra attempts be at most a part of the first ones. */
public final class RetryBudget {
  private static final double PART = 0.1;
  private static final double MOST = 50;

  private double tokens = MOST / 2;

  /** Starts with a small allowance. */
  public RetryBudget() {}

  /** Notes a first attempt. */
  public void firstAttempt() {
    tokens = Math.min(MOST, tokens + PART);
  }

  /**
   * Spends on an extra attempt.
   *
   * @return whether the attempt may be made
   */
  public boolean spend() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
