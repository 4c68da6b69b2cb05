package org.lavenderstage.core.placement;

/**
 * An amount of resources, such as the capacity of a worker or the demand of a task.
 *
 * @param cpuMillis the CPU in thousandths of a core
 * @param memoryMb the memory in mebibytes
 * @param accelerators the number of accelerators
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators) {
  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Returns the sum of this amount and another. A component that an int cannot hold becomes the
   * largest one, so that no sum turns negative.
   *
   * @param other the amount to add
   * @return the sum
   */
  public Resources plus(Resources other) {
    return new Resources(
        clamp((long) cpuMillis + other.cpuMillis),
        clamp((long) memoryMb + other.memoryMb),
        clamp((long) accelerators + other.accelerators));
  }

  /**
   * Returns this amount less another.
   *
   * @param other the amount to subtract
   * @return the difference, whose components may be negative
   */
  public Resources minus(Resources other) {
    return new Resources(
        clamp((long) cpuMillis - other.cpuMillis),
        clamp((long) memoryMb - other.memoryMb),
        clamp((long) accelerators - other.accelerators));
  }

  private static int clamp(long amount) {
    return Math.clamp(amount, Integer.MIN_VALUE, Integer.MAX_VALUE);
  }

  /**
   * Returns whether this amount fits into a capacity, that is, no component is larger.
   *
   * @param capacity the capacity
   * @return whether this amount fits
   */
  public boolean fitsIn(Resources capacity) {
    return cpuMillis <= capacity.cpuMillis
        && memoryMb <= capacity.memoryMb
        && accelerators <= capacity.accelerators;
  }

  /**
   * Returns whether this amount can be a demand or a capacity, that is, no component is negative.
   *
   * @return whether this amount is valid
   */
  public boolean isValid() {
    return cpuMillis >= 0 && memoryMb >= 0 && accelerators >= 0;
  }
}
