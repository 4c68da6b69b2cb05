package org.lavenderstage.core.job;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies a task.
 *
 * @param job identifier of the job
 * @param occurrence number of the occurrence, 0 for a job without occurrences
 * @param step number of the step
 * @param index number of the task within its step
 */
public record TaskId(String job, int occurrence, int step, int index) {
  private static final Pattern FORMAT = Pattern.compile("(.*)\\.(\\d+)\\.(\\d+)\\.(\\d+)");

  /**
   * Parses the string form of an identifier.
   *
   * @param text what {@link #toString} has returned
   * @return the identifier
   * @throws IllegalArgumentException if the text has another format
   */
  public static TaskId parse(String text) {
    Matcher parts = FORMAT.matcher(text);
    if (!parts.matches()) {
      throw new IllegalArgumentException("expected the identifier of a task, found " + text);
    }
    return new TaskId(
        parts.group(1),
        Integer.parseInt(parts.group(2)),
        Integer.parseInt(parts.group(3)),
        Integer.parseInt(parts.group(4)));
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
