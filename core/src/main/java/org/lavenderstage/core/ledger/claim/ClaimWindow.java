package org.lavenderstage.core.ledger.claim;

/**
 * How far a key's own time may lie from now. An entry refuses a key a margin before the fold does,
 * and the fold refuses it a margin before it forgets the key's claim, so that no claim is made for
 * a key whose former claim may be forgotten. Every entry must use the same window.
 *
 * @param pastMillis how old a key may be in milliseconds
 * @param aheadMillis how far in the future a key may lie in milliseconds
 * @param skewMillis the margin: largest difference between two clocks in milliseconds
 */
public record ClaimWindow(long pastMillis, long aheadMillis, long skewMillis) {
  /**
   * Tells whether an entry takes a key.
   *
   * @param keyMillis the key's own time
   * @param nowMillis the entry's estimate of the log's time
   * @return whether the key may be claimed
   */
  public boolean accepts(long keyMillis, long nowMillis) {
    return keyMillis >= nowMillis - pastMillis && keyMillis <= nowMillis + aheadMillis;
  }

  /**
   * Tells whether a claim of a key may take effect.
   *
   * @param keyMillis the key's own time
   * @param foldMillis latest append time of the fold
   * @return whether the key lies inside the window
   */
  public boolean isValid(long keyMillis, long foldMillis) {
    return keyMillis >= foldMillis - pastMillis - skewMillis
        && keyMillis <= foldMillis + aheadMillis + skewMillis;
  }

  /**
   * Returns the time below which the claims of keys are forgotten.
   *
   * @param foldMillis latest append time of the fold
   * @return key time in milliseconds
   */
  public long forgetBelowMillis(long foldMillis) {
    return foldMillis - pastMillis - 2 * skewMillis;
  }
}
