package org.lavenderstage.wire.settings;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Reads settings from flags, environment variables and defaults, in this order of precedence, and
 * reports all errors at once.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Parses the arguments, then reads and checks every setting.
   *
   * @param flags receives the values of the arguments
   * @param arguments arguments of the command line
   * @param environment environment variables of the process
   * @return the values, or all errors; no values if the help was requested
   */
  public static Either<List<SettingError>, SettingValues> parse(
      SettingFlags flags, String[] arguments, Map<String, String> environment) {
    SettingArguments checked = SettingArguments.scan(flags.specs(), arguments);
    try {
      JCommander.newBuilder().addObject(flags).build().parse(checked.accepted());
    } catch (ParameterException e) {
      return Either.left(List.of(new SettingError("arguments", e.getMessage(), "--help")));
    }
    if (flags.help()) {
      return Either.right(new SettingValues(Map.of()));
    }
    List<SettingError> errors = new ArrayList<>(checked.errors());
    Map<String, String> values = values(flags, environment, errors, checked::isReported);
    return errors.isEmpty() ? Either.right(new SettingValues(values)) : Either.left(errors);
  }

  /**
   * Reads and checks every setting.
   *
   * @param flags flags of the command line
   * @param environment environment variables of the process
   * @return the values, or all errors
   */
  public static Either<List<SettingError>, SettingValues> read(
      SettingFlags flags, Map<String, String> environment) {
    List<SettingError> errors = new ArrayList<>();
    Map<String, String> values = values(flags, environment, errors, spec -> false);
    return errors.isEmpty() ? Either.right(new SettingValues(values)) : Either.left(errors);
  }

  private static Map<String, String> values(
      SettingFlags flags,
      Map<String, String> environment,
      List<SettingError> errors,
      Predicate<SettingSpec> reported) {
    Map<String, String> values = new HashMap<>();
    List<SettingSpec> specs = flags.specs();
    for (int i = 0; i < specs.size(); i++) {
      if (!reported.test(specs.get(i))) {
        readOne(specs.get(i), flags.given().get(i), environment, values, errors);
      }
    }
    return values;
  }

  private static void readOne(
      SettingSpec spec,
      Optional<String> flag,
      Map<String, String> environment,
      Map<String, String> values,
      List<SettingError> errors) {
    Optional<String> variable = Optional.ofNullable(environment.get(spec.variable()));
    Optional<String> value = flag.or(() -> variable).or(spec::defaultValue);
    if (value.filter(spec::allows).isPresent()) {
      values.put(spec.name(), value.get());
      return;
    }
    String source = flag.isPresent() ? " by the flag" : " by the variable";
    String problem =
        value.map(invalid -> "has the value '" + invalid + "'" + source).orElse("is missing");
    errors.add(SettingError.of(spec, problem));
  }
}
