package org.lavenderstage.wire.settings;

import java.util.List;

/** Writes the help of a command: for each setting its flag, variable, default and range. */
public final class SettingsHelp {
  private SettingsHelp() {}

  /**
   * Writes the help.
   *
   * @param command name of the command with its program
   * @param specs its settings
   * @return the text
   */
  public static String text(String command, List<SettingSpec> specs) {
    StringBuilder text = new StringBuilder("usage: ").append(command).append(" [flags]\n");
    for (SettingSpec spec : specs) {
      text.append("  ").append(spec.flag()).append("  ").append(spec.description()).append('\n');
      text.append("      variable ").append(spec.variable());
      text.append(spec.defaultValue().map(value -> ", default " + value).orElse(", required"));
      text.append(", allowed: ").append(spec.range()).append('\n');
    }
    return text.append("  --help  prints this text\n")
        .append("exit codes: 0 done, 1 failed or refused, 2 wrong flags or variables\n")
        .toString();
  }
}
