package org.lavenderstage.wire.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads settings from flags, then environment variables, then defaults, and checks all at once. */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads and checks every setting.
   *
   * @param flags the flags that were given
   * @param environment the environment variables
   * @return the values, or every error
   */
  public static Either<List<SettingError>, SettingValues> read(
      SettingFlags flags, Map<String, String> environment) {
    List<SettingError> errors = new ArrayList<>();
    Map<String, String> values = new HashMap<>();
    List<SettingSpec> specs = flags.specs();
    for (int i = 0; i < specs.size(); i++) {
      readOne(specs.get(i), flags.given().get(i), environment, values, errors);
    }
    return errors.isEmpty() ? Either.right(new SettingValues(values)) : Either.left(errors);
  }

  private static void readOne(
      SettingSpec spec,
      Optional<String> flag,
      Map<String, String> environment,
      Map<String, String> values,
      List<SettingError> errors) {
    Optional<String> variable = Optional.ofNullable(environment.get(spec.variable()));
    Optional<String> given = flag.or(() -> variable);
    Optional<String> value = given.or(spec::defaultValue);
    if (value.filter(spec::allows).isPresent()) {
      values.put(spec.name(), value.get());
      return;
    }
    String source = source(spec, flag.isPresent(), variable.isPresent());
    errors.add(new SettingError(spec, source, value.orElse("")));
  }

  private static String source(SettingSpec spec, boolean fromFlag, boolean fromVariable) {
    if (fromFlag) {
      return spec.flag();
    }
    return fromVariable ? spec.variable() : spec.flag() + " or " + spec.variable();
  }
}
