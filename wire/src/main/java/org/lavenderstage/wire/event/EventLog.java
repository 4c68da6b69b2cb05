package org.lavenderstage.wire.event;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.lavenderstage.wire.codec.JsonCodec;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/** Logs numbered events with named values through tinylog, as key=value pairs or JSON. */
public final class EventLog {
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
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("event", event.label());
    fields.put("name", event.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      fields.put(String.valueOf(namesAndValues[i]), String.valueOf(namesAndValues[i + 1]));
    }
    return json ? new String(JsonCodec.encode(fields), StandardCharsets.UTF_8) : pairs(fields);
  }

  private static String pairs(Map<String, String> fields) {
    StringBuilder line = new StringBuilder();
    fields.forEach(
        (name, value) -> {
          if (!line.isEmpty()) {
            line.append(' ');
          }
          line.append(name).append('=').append(quoted(value));
        });
    return line.toString();
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
