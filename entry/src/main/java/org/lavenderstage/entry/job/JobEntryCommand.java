package org.lavenderstage.entry.job;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lavenderstage.platform.InvalidSettingException;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.platform.NodeSettingsReader;
import org.lavenderstage.platform.SettingsFile;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Runs an entry on the users' platform until the process is terminated. */
public final class JobEntryCommand {
  private static final int USAGE_ERROR = 2;

  /**
   * Time between the termination signal and the end of listening, in milliseconds. It covers two
   * failed readiness checks, one second apart, and a request in transit.
   */
  private static final long DRAIN_MILLIS = 2_300;

  /** Time that the last requests have at least for their answers, in milliseconds. */
  private static final long ANSWER_MILLIS = 1_500;

  /** Part of the time for stopping in which the threads end after the last answer, in ms. */
  private static final long CLOSE_MILLIS = 1_000;

  /** Interval at which the settings file is checked for changes, in milliseconds. */
  private static final long SETTINGS_POLL_MILLIS = 1_000;

  private JobEntryCommand() {}

  /**
   * Runs the entry.
   *
   * @param arguments ignored
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] arguments) throws InterruptedException {
    EventLog.useJson(true);
    Path file = SettingsFile.path(System.getenv());
    JobEntry entry;
    NodeSettings settings;
    String text;
    try {
      text = Files.readString(file);
      settings = NodeSettingsReader.read(text);
      entry = new JobEntry(settings);
    } catch (IOException | InvalidSettingException e) {
      EventLog.warn(LogEvent.SETTING_REFUSED, "file", file, "cause", e.getMessage());
      System.exit(USAGE_ERROR);
      return;
    }
    long graceMillis = settings.bounds().stopGraceMillis();
    // The platform announces new settings by SIGHUP, which by default ends a Java process. The
    // signal is not needed, since the file is polled often enough.
    SighupHandler.ignore();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entry, graceMillis), "stop"));
    entry.start();
    watchSettings(file, text, entry);
  }

  private static void watchSettings(Path file, String initialText, JobEntry entry)
      throws InterruptedException {
    String text = initialText;
    while (true) {
      Thread.sleep(SETTINGS_POLL_MILLIS);
      try {
        String next = Files.readString(file);
        if (!next.equals(text)) {
          text = next;
          entry.reload(NodeSettingsReader.read(next));
        }
      } catch (IOException | InvalidSettingException e) {
        EventLog.warn(LogEvent.SETTING_REFUSED, "file", file, "cause", e.getMessage());
      }
    }
  }

  /** Stops the entry within the time after which the platform kills it. */
  private static void stop(JobEntry entry, long graceMillis) {
    long startMillis = Clocks.monotonicMillis();
    long answerUntilMillis = startMillis + graceMillis - CLOSE_MILLIS;
    long listenUntilMillis =
        Math.min(startMillis + DRAIN_MILLIS, answerUntilMillis - ANSWER_MILLIS);
    attempt(entry::drain);
    try {
      Thread.sleep(Math.max(0, listenUntilMillis - Clocks.monotonicMillis()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    attempt(() -> entry.answerPending(answerUntilMillis - Clocks.monotonicMillis()));
    attempt(entry::close);
    EventLog.flush();
    Runtime.getRuntime().halt(0);
  }

  /** Executes a part of the stop. Its failure must not keep callers from being answered. */
  private static void attempt(Runnable part) {
    try {
      part.run();
    } catch (RuntimeException e) {
      EventLog.warn(LogEvent.DUTY_FAILED, "duty", "stop", "cause", e);
    }
  }
}
