package org.lavenderstage.core.ledger.claim;

/**
 * How far the time in a key may differ from the current time. An entry rejects a key one margin
 * before the ledger does, and the ledger rejects a key one margin before it removes the key's
 * claim. A key whose earlier claim may have been removed can therefore not be claimed again. Every
 * entry must use the same window.
 *
 * @param pastMillis maximum age of a key in milliseconds
 * @param aheadMillis how far a key may lie in the future, in milliseconds
 * @param skewMillis the margin: largest difference between any two clocks, in milliseconds
 */
public record ClaimWindow(long pastMillis, long aheadMillis, long skewMillis) {
  /**
   * Returns whether an entry accepts a key.
   *
   * @param keyMillis time in the key, in milliseconds since 1970
   * @param nowMillis the entry's estimate of the log's time, in milliseconds since 1970
   * @return whether the key may be claimed
   */
  public boolean accepts(long keyMillis, long nowMillis) {
    return keyMillis >= nowMillis - pastMillis && keyMillis <= nowMillis + aheadMillis;
  }

  /**
   * Returns whether a claim of a key may take effect.
   *
   * @param keyMillis time in the key, in milliseconds since 1970
   * @param latestAppendMillis latest append time in the log, in milliseconds since 1970
   * @return whether the key lies inside the window
   */
  public boolean isValid(long keyMillis, long latestAppendMillis) {
    return keyMillis >= latestAppendMillis - pastMillis - skewMillis
        && keyMillis <= latestAppendMillis + aheadMillis + skewMillis;
  }

  /**
   * Returns the time in a key below which its claim is removed.
   *
   * @param latestAppendMillis latest append time in the log, in milliseconds since 1970
   * @return the time in milliseconds since 1970
   */
  public long oldestKeptMillis(long latestAppendMillis) {
    return latestAppendMillis - pastMillis - 2 * skewMillis;
  }
}
