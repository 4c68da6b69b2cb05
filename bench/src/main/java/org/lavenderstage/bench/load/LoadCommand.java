package org.lavenderstage.bench.load;

import com.linecorp.armeria.client.ClientFactory;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.lavenderstage.wire.settings.LoadSettings;
import org.lavenderstage.wire.settings.SettingError;
import org.lavenderstage.wire.settings.SettingRule;
import org.lavenderstage.wire.settings.SettingValues;
import org.lavenderstage.wire.settings.SettingsHelp;
import org.lavenderstage.wire.settings.SettingsReader;

/**
 * Implements {@code bench load}: measures the latency of requests sent through the entries and,
 * optionally, directly to an executor.
 */
public final class LoadCommand {
  private static final int FAILED = 1;
  private static final int USAGE_ERROR = 2;

  private LoadCommand() {}

  /**
   * Runs the load and prints the latencies.
   *
   * @param arguments flags of the command
   * @param environment environment variables
   * @param out receives the table of results
   * @param err receives error messages
   * @return the exit code: 0 on success, 1 if a request failed, 2 for invalid flags
   */
  public static int run(
      String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
    LoadSettings.Flags flags = new LoadSettings.Flags();
    Either<List<SettingError>, SettingValues> values =
        SettingsReader.parse(flags, arguments, environment);
    if (values.isLeft()) {
      values.getLeft().forEach(err::println);
      return USAGE_ERROR;
    }
    if (flags.help()) {
      out.print(SettingsHelp.text("lavenderstage bench load", flags.specs()));
      return 0;
    }
    return measure(LoadSettings.of(values.get()), out);
  }

  private static int measure(LoadSettings settings, PrintStream out) {
    try (ClientFactory factory = ClientFactory.builder().build()) {
      List<String> entries =
          Arrays.stream(settings.target().split(",", -1)).map(String::strip).toList();
      LoadResult through =
          LoadRun.run(settings, new LoadTarget.ThroughEntries(factory, entries, settings));
      out.println(through.line("entry"));
      if (settings.direct().equals(SettingRule.NONE)) {
        return through.failed() == 0 ? 0 : FAILED;
      }
      LoadResult direct =
          LoadRun.run(settings, new LoadTarget.ToExecutor(factory, settings.direct(), settings));
      out.println(direct.line("direct"));
      out.println(through.added(direct));
      return through.failed() + direct.failed() == 0 ? 0 : FAILED;
    }
  }
}
