package org.lavenderstage.wire.settings;

import java.util.Map;

/** Checked values of all settings of a program. */
public final class SettingValues {
  private final Map<String, String> values;

  SettingValues(Map<String, String> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Returns the value of an integer setting.
   *
   * @param name name of the setting
   * @return the value
   */
  public int integer(String name) {
    return Integer.parseInt(values.get(name));
  }

  /**
   * Returns the value of a text setting.
   *
   * @param name name of the setting
   * @return the value
   */
  public String text(String name) {
    return values.get(name);
  }
}
