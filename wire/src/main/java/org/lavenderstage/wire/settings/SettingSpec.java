package org.lavenderstage.wire.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * Specification of a setting.
 *
 * @param name name of the flag without its dashes
 * @param isInteger whether the value is an integer
 * @param defaultValue default value, empty if the setting is required
 * @param min smallest allowed number
 * @param max largest allowed number
 * @param description human-readable explanation, with the unit
 * @param rule constraint on the value beyond its type
 */
public record SettingSpec(
    String name,
    boolean isInteger,
    Optional<String> defaultValue,
    int min,
    int max,
    String description,
    SettingRule rule) {
  /** Prefix of the names of the environment variables. */
  public static final String VARIABLE_PREFIX = "LAVENDERSTAGE_";

  /**
   * Creates a setting whose value is an integer.
   *
   * @param name name of the flag without its dashes
   * @param defaultValue default value, empty if the setting is required
   * @param min smallest allowed number
   * @param max largest allowed number
   * @param description human-readable explanation, with the unit
   * @return the setting
   */
  public static SettingSpec integer(
      String name, Optional<String> defaultValue, int min, int max, String description) {
    return new SettingSpec(name, true, defaultValue, min, max, description, SettingRule.ANY);
  }

  /**
   * Creates a setting whose value is a text.
   *
   * @param name name of the flag without its dashes
   * @param defaultValue default value, empty if the setting is required
   * @param description human-readable explanation
   * @return the setting
   */
  public static SettingSpec text(String name, Optional<String> defaultValue, String description) {
    return new SettingSpec(name, false, defaultValue, 0, 0, description, SettingRule.ANY);
  }

  /**
   * Returns a copy of this setting with a rule.
   *
   * @param added constraint on the value beyond its type
   * @return the copy
   */
  public SettingSpec withRule(SettingRule added) {
    return new SettingSpec(name, isInteger, defaultValue, min, max, description, added);
  }

  /**
   * Returns the command-line flag.
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
   * Returns a description of the allowed values.
   *
   * @return the description
   */
  public String range() {
    if (!isInteger) {
      return rule.text();
    }
    String numbers = min + " to " + max;
    return rule == SettingRule.ANY ? numbers : rule.text() + ", " + numbers;
  }

  /**
   * Returns whether a value satisfies the type, the range and the rule.
   *
   * @param value value to check
   * @return whether the value is allowed
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
