package org.lavenderstage.entry.job;

import com.linecorp.armeria.client.ClientFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lavenderstage.platform.InvalidSettingException;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.platform.NodeSettingsReader;
import org.lavenderstage.platform.SettingsFile;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Runs an entry on the users' platform until the process is told to end. */
public final class JobEntryCommand {
  private static final int USAGE_ERROR = 2;

  /**
   * Time from the signal to end until the last answer, in milliseconds: two missed readiness
   * checks, a second apart, and a request on its way.
   */
  private static final long NOTICE_MILLIS = 2_300;

  /** Part of the time to end that is kept for the last answers, in milliseconds. */
  private static final long LAST_ANSWERS_MILLIS = 1_500;

  /** Time between two looks at the settings file, in milliseconds. */
  private static final long SETTINGS_MILLIS = 1_000;

  private JobEntryCommand() {}

  /**
   * Runs the entry.
   *
   * @param arguments none
   * @throws InterruptedException where the main thread is interrupted
   */
  public static void main(String[] arguments) throws InterruptedException {
    EventLog.useJson(true);
    ClientFactory.disableShutdownHook();
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
    long notice = Math.min(NOTICE_MILLIS, settings.bounds().stopGrace() - LAST_ANSWERS_MILLIS);
    // The platform tells of new settings by SIGHUP, which would end a Java process otherwise; the
    // file is looked at often enough without it.
    HangUp.ignore();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(entry, notice), "stop"));
    entry.start();
    watch(file, text, entry);
  }

  private static void watch(Path file, String first, JobEntry entry) throws InterruptedException {
    String text = first;
    while (true) {
      Thread.sleep(SETTINGS_MILLIS);
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

  private static void stop(JobEntry entry, long noticeMillis) {
    entry.drain();
    try {
      Thread.sleep(Math.max(0, noticeMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    entry.close();
    EventLog.flush();
    Runtime.getRuntime().halt(0);
  }
}
