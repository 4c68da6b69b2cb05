package org.lavenderstage.wire.settings;

/**
 * Error of one flag or environment variable.
 *
 * @param setting flag and variable of the setting, or the unknown flag
 * @param problem description of the error, with the value
 * @param expected description of the allowed values
 */
public record SettingError(String setting, String problem, String expected) {
  static SettingError of(SettingSpec spec, String problem) {
    String names = spec.flag() + " (variable " + spec.variable() + ")";
    return new SettingError(names, problem, spec.range() + ": " + spec.description());
  }

  @Override
  public String toString() {
    return setting + " " + problem + "; expected " + expected;
  }
}
