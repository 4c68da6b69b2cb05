package org.lavenderstage.core.placement;

/**
 * An amount of what a worker has and a task needs.
 *
 * @param cpuMillis processors in thousandths of a core
 * @param memoryMb memory in mebibytes
 * @param accelerators count of accelerators
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators) {
  /** Nothing at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Adds another amount.
   *
   * @param other the other amount
   * @return the sum
   */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
  }

  /**
   * Takes another amount away.
   *
   * @param other the other amount
   * @return the difference, whose parts may be negative
   */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
  }

  /**
   * Tells whether this amount is no larger than another in every part.
   *
   * @param room the other amount
   * @return whether it fits
   */
  public boolean fitsIn(Resources room) {
    return cpuMillis <= room.cpuMillis
        && memoryMb <= room.memoryMb
        && accelerators <= room.accelerators;
  }

  /**
   * Tells whether no part is negative.
   *
   * @return whether the amount can be a demand
   */
  public boolean isValid() {
    return cpuMillis >= 0 && memoryMb >= 0 && accelerators >= 0;
  }
}
