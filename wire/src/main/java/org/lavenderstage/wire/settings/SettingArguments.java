package org.lavenderstage.wire.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The arguments of a command, divided into those that JCommander can read and the errors of all
 * others, since JCommander stops at the first error.
 */
final class SettingArguments {
  private static final String HELP = "--help";

  private final List<String> kept = new ArrayList<>();
  private final List<SettingError> errors = new ArrayList<>();
  private final Set<String> seen = new HashSet<>();

  private SettingArguments() {}

  /**
   * Divides the arguments.
   *
   * @param specs the settings that the command knows
   * @param arguments the arguments
   * @return the division
   */
  static SettingArguments scan(List<SettingSpec> specs, String[] arguments) {
    SettingArguments scan = new SettingArguments();
    for (int i = 0; i < arguments.length; i++) {
      String flag = arguments[i];
      Optional<SettingSpec> spec =
          specs.stream().filter(known -> known.flag().equals(flag)).findFirst();
      boolean hasValue = i + 1 < arguments.length && !arguments[i + 1].startsWith("--");
      if (flag.equals(HELP)) {
        scan.kept.add(flag);
      } else if (spec.isEmpty()) {
        scan.errors.add(new SettingError(flag, "is not known", "one of the flags of --help"));
        i += flag.startsWith("--") && hasValue ? 1 : 0;
      } else if (!hasValue) {
        scan.errors.add(SettingError.of(spec.get(), "is given without a value"));
        scan.seen.add(flag);
      } else {
        i++;
        scan.keep(spec.get(), arguments[i]);
      }
    }
    return scan;
  }

  private void keep(SettingSpec spec, String value) {
    if (!seen.add(spec.flag())) {
      errors.add(SettingError.of(spec, "is given a second time with the value '" + value + "'"));
      return;
    }
    kept.add(spec.flag());
    kept.add(value);
  }

  String[] kept() {
    return kept.toArray(new String[0]);
  }

  List<SettingError> errors() {
    return List.copyOf(errors);
  }

  /** Tells whether an error was reported for a setting already. */
  boolean isReported(SettingSpec spec) {
    return seen.contains(spec.flag()) && !kept.contains(spec.flag());
  }
}
