package org.lavenderstage.wire.settings;

/**
 * One flag or variable that cannot be taken.
 *
 * @param setting flag and variable of the setting, or the flag that is not known
 * @param problem what is wrong, with the value
 * @param expected what would be allowed
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
