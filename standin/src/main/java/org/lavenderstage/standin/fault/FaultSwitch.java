package org.lavenderstage.standin.fault;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The faults of one fake, each off until it is given a value above zero. */
public final class FaultSwitch {
  /** A fault that a fake can show. */
  public enum Kind {
    /** Every call fails before it takes effect. */
    DOWN,
    /** Every call waits for this many milliseconds first. */
    SLOW,
    /** Every call takes effect and this share in percent loses its answer. */
    LOSE_ANSWERS,
    /** Every call takes effect only after the fault has ended, unanswered until then. */
    FREEZE,
    /** Every task or request fails. */
    FAIL_ALL,
    /** This share in percent of the answers is cut. */
    CUT_ANSWERS,
    /** This share in percent of the answers carries another request's number. */
    CROSS_ANSWERS;

    /**
     * Finds a fault by its name on the command line.
     *
     * @param name the name, such as {@code lose-answers}
     * @return the fault
     * @throws IllegalArgumentException where there is none of that name
     */
    public static Kind of(String name) {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
  }

  private final Map<Kind, Integer> values = new ConcurrentHashMap<>();

  /** Starts without faults. */
  public FaultSwitch() {}

  /**
   * Switches a fault.
   *
   * @param kind the fault
   * @param value its value, 0 for off
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
   * Tells whether a fault is on.
   *
   * @param kind the fault
   * @return whether its value is above zero
   */
  public boolean isOn(Kind kind) {
    return value(kind) > 0;
  }
}
