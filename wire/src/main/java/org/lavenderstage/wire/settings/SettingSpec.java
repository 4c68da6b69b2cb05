package org.lavenderstage.wire.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * One setting.
 *
 * @param name name without the dashes of its flag
 * @param isInteger whether the value is a whole number
 * @param defaultValue value where none is given, empty where one must be given
 * @param min smallest number
 * @param max largest number
 * @param description explanation for people, with the unit
 * @param rule what the value must be beyond its type
 */
public record SettingSpec(
    String name,
    boolean isInteger,
    Optional<String> defaultValue,
    int min,
    int max,
    String description,
    SettingRule rule) {
  /** Start of the environment variables' names. */
  public static final String VARIABLE_PREFIX = "LAVENDERSTAGE_";

  /**
   * Makes a setting whose value is a whole number.
   *
   * @param name name without the dashes of its flag
   * @param defaultValue value where none is given
   * @param min smallest number
   * @param max largest number
   * @param description explanation for people, with the unit
   * @return the setting
   */
  public static SettingSpec integer(
      String name, Optional<String> defaultValue, int min, int max, String description) {
    return new SettingSpec(name, true, defaultValue, min, max, description, SettingRule.ANY);
  }

  /**
   * Makes a setting whose value is a text.
   *
   * @param name name without the dashes of its flag
   * @param defaultValue value where none is given
   * @param description explanation for people
   * @return the setting
   */
  public static SettingSpec text(String name, Optional<String> defaultValue, String description) {
    return new SettingSpec(name, false, defaultValue, 0, 0, description, SettingRule.ANY);
  }

  /**
   * Adds a rule.
   *
   * @param added what the value must be beyond its type
   * @return the setting with the rule
   */
  public SettingSpec withRule(SettingRule added) {
    return new SettingSpec(name, isInteger, defaultValue, min, max, description, added);
  }

  /**
   * Returns the flag of the command line.
   *
   * @return the flag, such as {@code --http-port}
   */
  public String flag() {
    return "--" + name;
  }

  /**
   * Returns the environment variable.
   *
   * @return the variable, such as {@code LAVENDERSTAGE_HTTP_PORT}
   */
  public String variable() {
    return VARIABLE_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  /**
   * Returns the allowed values as text.
   *
   * @return the range
   */
  public String range() {
    if (!isInteger) {
      return rule.text();
    }
    String numbers = min + " to " + max;
    return rule == SettingRule.ANY ? numbers : rule.text() + ", " + numbers;
  }

  /**
   * Checks a value.
   *
   * @param value the value
   * @return whether it is allowed
   */
  public boolean allows(String value) {
    if (!rule.allows(value)) {
      return false;
    }
    if (!isInteger) {
      return true;
    }
    try {
      int number = Integer.parseInt(value);
      return number >= min && number <= max;
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
