package org.lavenderstage.standin.fault;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The faults of one fake. A fault is on while its value is above zero; initially all are off. */
public final class FaultSwitch {
  /** A fault that a fake can inject. */
  public enum Kind {
    /** Every call fails before it takes effect. */
    DOWN,
    /** Every call is delayed by this many milliseconds. */
    SLOW,
    /** Every call takes effect, but this percentage of the replies is lost. */
    LOSE_ANSWERS,
    /** Calls block until the fault is switched off, and take effect only then. */
    FREEZE,
    /** Every task or request fails. */
    FAIL_ALL,
    /** This percentage of the responses is truncated. */
    CUT_ANSWERS,
    /** This percentage of the responses carries the id of another request. */
    CROSS_ANSWERS;

    /**
     * Returns the fault with a name as used on the command line.
     *
     * @param name the name, such as {@code lose-answers}
     * @return the fault
     * @throws IllegalArgumentException where no fault has that name
     */
    public static Kind of(String name) {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
  }

  private final Map<Kind, Integer> values = new ConcurrentHashMap<>();

  /** Creates a set of faults that are all off. */
  public FaultSwitch() {}

  /**
   * Sets the value of a fault.
   *
   * @param kind the fault
   * @param value value of the fault, 0 to switch it off
   */
  public void set(Kind kind, int value) {
    values.put(kind, value);
  }

  /**
   * Returns the value of a fault.
   *
   * @param kind the fault
   * @return the value, 0 for off
   */
  public int value(Kind kind) {
    return values.getOrDefault(kind, 0);
  }

  /**
   * Returns whether a fault is on.
   *
   * @param kind the fault
   * @return whether its value is above zero
   */
  public boolean isOn(Kind kind) {
    return value(kind) > 0;
  }
}
