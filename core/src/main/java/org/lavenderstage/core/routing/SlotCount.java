package org.lavenderstage.core.routing;

/**
 * The number of slots that one entry may use.
 *
 * @param free number of free slots
 * @param busy number of slots in use
 */
public record SlotCount(int free, int busy) {
  /**
   * Returns the total number of slots.
   *
   * @return number of free and busy slots
   */
  public int total() {
    return free + busy;
  }
}
