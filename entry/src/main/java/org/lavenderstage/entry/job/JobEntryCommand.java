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
   * Time between the termination signal and the last answer, in milliseconds. It covers two failed
   * readiness checks, one second apart, and a request in transit.
   */
  private static final long DRAIN_MILLIS = 2_300;

  /** Part of the time for stopping that is reserved for the last answers, in milliseconds. */
  private static final long CLOSE_MILLIS = 1_500;

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
    long drainMillis = Math.min(DRAIN_MILLIS, settings.bounds().stopGraceMillis() - CLOSE_MILLIS);
    // The platform announces new settings by SIGHUP, which by default ends a Java process. The
    // signal is not needed, since the file is polled often enough.
    SighupHandler.ignore();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entry, drainMillis), "stop"));
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

  private static void stop(JobEntry entry, long waitMillis) {
    entry.drain();
    try {
      Thread.sleep(Math.max(0, waitMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    entry.close();
    EventLog.flush();
    Runtime.getRuntime().halt(0);
  }
}
