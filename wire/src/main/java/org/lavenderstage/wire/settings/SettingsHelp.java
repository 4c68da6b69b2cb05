package org.lavenderstage.wire.settings;

import java.util.List;

/** Formats the help of a command: the flag, variable, default and range of each setting. */
public final class SettingsHelp {
  private SettingsHelp() {}

  /**
   * Returns the help of a command.
   *
   * @param command name of the program and the command
   * @param specs settings of the command
   * @return the help
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
