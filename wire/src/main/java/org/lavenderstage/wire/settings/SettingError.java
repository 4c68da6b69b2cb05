package org.lavenderstage.wire.settings;

/**
 * One setting that cannot be taken.
 *
 * @param spec the setting
 * @param source flag or variable that gave the value, or both where none was given
 * @param value the value, empty for none
 */
public record SettingError(SettingSpec spec, String source, String value) {
  @Override
  public String toString() {
    String given = value.isEmpty() ? "is missing" : "is '" + value + "'";
    return source + " " + given + ": expected " + spec.range() + " (" + spec.description() + ")";
  }
}
