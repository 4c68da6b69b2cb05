package org.lavenderstage.wire.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Arguments of a command, separated into those that JCommander can parse and the errors of all
 * others. JCommander itself stops at the first error.
 */
final class SettingArguments {
  private static final String HELP = "--help";

  private final List<String> accepted = new ArrayList<>();
  private final List<SettingError> errors = new ArrayList<>();
  private final Set<String> seen = new HashSet<>();

  private SettingArguments() {}

  /**
   * Scans the arguments.
   *
   * @param specs settings of the command
   * @param arguments arguments of the command line
   * @return the accepted arguments and the errors
   */
  static SettingArguments scan(List<SettingSpec> specs, String[] arguments) {
    SettingArguments result = new SettingArguments();
    for (int i = 0; i < arguments.length; i++) {
      String flag = arguments[i];
      Optional<SettingSpec> spec =
          specs.stream().filter(known -> known.flag().equals(flag)).findFirst();
      boolean hasValue = i + 1 < arguments.length && !arguments[i + 1].startsWith("--");
      if (flag.equals(HELP)) {
        result.accepted.add(flag);
      } else if (spec.isEmpty()) {
        result.errors.add(new SettingError(flag, "is not known", "one of the flags of --help"));
        i += flag.startsWith("--") && hasValue ? 1 : 0;
      } else if (!hasValue) {
        result.errors.add(SettingError.of(spec.get(), "is given without a value"));
        result.seen.add(flag);
      } else {
        i++;
        result.accept(spec.get(), arguments[i]);
      }
    }
    return result;
  }

  private void accept(SettingSpec spec, String value) {
    if (!seen.add(spec.flag())) {
      errors.add(SettingError.of(spec, "is given a second time with the value '" + value + "'"));
      return;
    }
    accepted.add(spec.flag());
    accepted.add(value);
  }

  String[] accepted() {
    return accepted.toArray(new String[0]);
  }

  List<SettingError> errors() {
    return List.copyOf(errors);
  }

  /** Returns whether an error was already reported for a setting. */
  boolean isReported(SettingSpec spec) {
    return seen.contains(spec.flag()) && !accepted.contains(spec.flag());
  }
}
