package org.lavenderstage.core.routing;

/**
 * The slots that one entry has at hand.
 *
 * @param free idle ones
 * @param busy ones in use
 */
public record SlotCount(int free, int busy) {
  /**
   * Returns all slots.
   *
   * @return the sum
   */
  public int total() {
    return free + busy;
  }
}
