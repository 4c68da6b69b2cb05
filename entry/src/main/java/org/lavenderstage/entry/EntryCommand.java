package org.lavenderstage.entry;

import com.linecorp.armeria.client.ClientFactory;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.settings.EntrySettings;
import org.lavenderstage.wire.settings.SettingError;
import org.lavenderstage.wire.settings.SettingValues;
import org.lavenderstage.wire.settings.SettingsHelp;
import org.lavenderstage.wire.settings.SettingsReader;

/** Command line of the daemon: validates the settings and runs an entry until it is stopped. */
public final class EntryCommand {
  private static final int USAGE_ERROR = 2;

  private EntryCommand() {}

  /**
   * Runs the daemon until it is stopped.
   *
   * @param arguments command-line flags
   * @param environment environment variables
   * @param out receives the help text or the addresses
   * @param err receives errors in the settings
   * @return exit code: 0 after the help or a stop, 2 for invalid settings
   * @throws InterruptedException if the main thread is interrupted
   */
  public static int run(
      String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err)
      throws InterruptedException {
    EntrySettings.Flags flags = new EntrySettings.Flags();
    Either<List<SettingError>, SettingValues> values =
        SettingsReader.parse(flags, arguments, environment);
    if (values.isLeft()) {
      values.getLeft().forEach(err::println);
      return USAGE_ERROR;
    }
    if (flags.help()) {
      out.print(SettingsHelp.text("lavenderstage entry", flags.specs()));
      return 0;
    }
    serve(EntrySettings.of(values.get()), out);
    return 0;
  }

  private static void serve(EntrySettings settings, PrintStream out) throws InterruptedException {
    EventLog.useJson(settings.logFormat().equals("json"));
    // The default hook would abort the requests at executors while the entry drains.
    ClientFactory.disableShutdownHook();
    Entry entry = new Entry(settings);
    out.println(entry.addresses());
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  entry.close();
                  stopped.countDown();
                },
                "shutdown"));
    stopped.await();
  }
}
