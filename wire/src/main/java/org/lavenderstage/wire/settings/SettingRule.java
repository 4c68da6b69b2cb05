package org.lavenderstage.wire.settings;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.regex.Pattern;

/** Constraint on the value of a setting beyond its type. */
public enum SettingRule {
  /** Any value that is not blank. */
  ANY("a non-blank text"),
  /** A name. */
  NAME("a name of 1 to 100 letters, digits, dots, underscores and hyphens"),
  /** Distinct names, separated by commas. */
  NAMES(
      "distinct names separated by commas, each of letters, digits, dots, underscores and hyphens"),
  /** An IPv4 address. */
  HOST("an IPv4 address such as 127.0.0.1"),
  /** A host and a port. */
  ADDRESS("HOST:PORT with a port of 1 to 65535"),
  /** A host and a port, or none. */
  ADDRESS_OR_NONE("HOST:PORT with a port of 1 to 65535, or none"),
  /** Distinct hosts and ports, separated by commas. */
  ADDRESSES("distinct HOST:PORT separated by commas, with ports of 1 to 65535"),
  /** Distinct hosts and ports, separated by commas, or none. */
  ADDRESSES_OR_NONE("distinct HOST:PORT separated by commas, with ports of 1 to 65535, or none"),
  /** A power of two. */
  POWER_OF_TWO("a power of two"),
  /** The name of a format of log lines. */
  LOG_FORMAT("key-value or json");

  /** Value that means no address. */
  public static final String NONE = "none";

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,100}");
  private static final Pattern HOST_PATTERN =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("[A-Za-z0-9.\\[\\]:-]*[A-Za-z0-9.\\]-]:\\d{1,5}");
  private static final int MAX_PORT = 65_535;

  private final String text;

  SettingRule(String text) {
    this.text = text;
  }

  /**
   * Returns a description of the allowed values.
   *
   * @return the description
   */
  public String text() {
    return text;
  }

  /**
   * Returns whether a value satisfies this rule.
   *
   * @param value value to check
   * @return whether the value is allowed
   */
  public boolean allows(String value) {
    return switch (this) {
      case ANY -> !value.isBlank();
      case NAME -> NAME_PATTERN.matcher(value).matches();
      case NAMES -> areDistinct(value, NAME);
      case HOST -> HOST_PATTERN.matcher(value).matches();
      case ADDRESS -> isAddress(value);
      case ADDRESS_OR_NONE -> value.equals(NONE) || isAddress(value);
      case ADDRESSES -> areDistinct(value, ADDRESS);
      case ADDRESSES_OR_NONE -> value.equals(NONE) || areDistinct(value, ADDRESS);
      case POWER_OF_TWO -> isPowerOfTwo(value);
      case LOG_FORMAT -> value.equals("key-value") || value.equals("json");
    };
  }

  private static boolean areDistinct(String value, SettingRule itemRule) {
    List<String> items = Arrays.stream(value.split(",", -1)).map(String::strip).toList();
    return new HashSet<>(items).size() == items.size() && items.stream().allMatch(itemRule::allows);
  }

  private static boolean isAddress(String value) {
    if (!ADDRESS_PATTERN.matcher(value).matches()) {
      return false;
    }
    int port = Integer.parseInt(value.substring(value.lastIndexOf(':') + 1));
    return port >= 1 && port <= MAX_PORT;
  }

  private static boolean isPowerOfTwo(String value) {
    try {
      int number = Integer.parseInt(value);
      return number > 0 && Integer.bitCount(number) == 1;
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
