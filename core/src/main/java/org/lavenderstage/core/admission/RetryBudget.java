package org.lavenderstage.core.admission;

/** Lets extra attempts be at most a part of the first ones. */
public final class RetryBudget {
  private static final double TOKENS_PER_FIRST_ATTEMPT = 0.1;
  private static final double MAX_TOKENS = 50;

  private double tokens = MAX_TOKENS / 2;

  /** Starts with a small allowance. */
  public RetryBudget() {}

  /** Notes a first attempt. */
  public void recordFirstAttempt() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
  }

  /**
   * Spends on an extra attempt.
   *
   * @return whether the attempt may be made
   */
  public boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
