package org.lavenderstage.core.admission;

/** Token bucket that limits repeated attempts to a fraction of the first attempts. */
public final class RetryBudget {
  private static final double TOKENS_PER_FIRST_ATTEMPT = 0.1;
  private static final double MAX_TOKENS = 50;

  private double tokens = MAX_TOKENS / 2;

  /** Creates a budget that is half full. */
  public RetryBudget() {}

  /** Records a first attempt, which adds to the budget. */
  public void recordFirstAttempt() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
  }

  /**
   * Takes a token for a repeated attempt if one is left.
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
