package org.lavenderstage.wire.settings;

import java.util.List;
import java.util.Optional;

/** Flags of a program as parsed by JCommander. */
public interface SettingFlags {
  /**
   * Returns the settings of the program.
   *
   * @return the settings
   */
  List<SettingSpec> specs();

  /**
   * Returns the values that were given as flags.
   *
   * @return one value for each of {@link #specs()}, empty if the flag was not given
   */
  List<Optional<String>> given();

  /**
   * Returns whether the help was requested.
   *
   * @return whether to print the help
   */
  boolean help();
}
