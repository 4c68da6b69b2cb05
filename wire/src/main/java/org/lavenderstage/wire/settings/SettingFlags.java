package org.lavenderstage.wire.settings;

import java.util.List;
import java.util.Optional;

/** The flags of a program as JCommander read them. */
public interface SettingFlags {
  /**
   * Lists the settings.
   *
   * @return the settings
   */
  List<SettingSpec> specs();

  /**
   * Lists the values that were given as flags.
   *
   * @return a value for each of {@link #specs()}, empty where the flag was not given
   */
  List<Optional<String>> given();

  /**
   * Tells whether the help was asked for.
   *
   * @return whether to print the help
   */
  boolean help();
}
