package org.lavenderstage.wire.event;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/** Logs numbered events with named values through tinylog, as key=value pairs or JSON. */
public final class EventLog {
  private static final int INITIAL_LINE_LENGTH = 256;

  private static volatile boolean json;

  private EventLog() {}

  /**
   * Sets the format of the log lines of this process.
   *
   * @param asJson true for messages that are JSON objects, false for key=value pairs
   */
  public static void useJson(boolean asJson) {
    json = asJson;
  }

  /**
   * Logs an event of normal operation.
   *
   * @param event event to log
   * @param namesAndValues alternating names and values
   */
  public static void info(LogEvent event, Object... namesAndValues) {
    Logger.info(line(event, namesAndValues));
  }

  /**
   * Logs an event that an operator may want to investigate.
   *
   * @param event event to log
   * @param namesAndValues alternating names and values
   */
  public static void warn(LogEvent event, Object... namesAndValues) {
    Logger.warn(line(event, namesAndValues));
  }

  /** Writes all pending lines and shuts the log down. The last call of a process. */
  public static void flush() {
    try {
      ProviderRegistry.getLoggingProvider().shutdown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String line(LogEvent event, Object... namesAndValues) {
    StringBuilder line = new StringBuilder(INITIAL_LINE_LENGTH);
    append(line, "event", event.label());
    append(line, "name", event.displayName());
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      append(line, String.valueOf(namesAndValues[i]), String.valueOf(namesAndValues[i + 1]));
    }
    return json ? line.append('}').toString() : line.toString();
  }

  private static void append(StringBuilder line, String name, String value) {
    if (json) {
      line.append(line.isEmpty() ? '{' : ',');
      appendJson(line, name);
      line.append(':');
      appendJson(line, value);
    } else {
      line.append(line.isEmpty() ? "" : " ").append(name).append('=').append(quoted(value));
    }
  }

  private static void appendJson(StringBuilder line, String text) {
    line.append('"');
    JsonStringEncoder.getInstance().quoteAsString(text, line);
    line.append('"');
  }

  private static String quoted(String value) {
    boolean plain =
        !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
    if (plain) {
      return value;
    }
    return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
  }
}
