package org.lavenderstage.wire.csv;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds the line on which each record of a CSV text starts. A quoted newline does not end a record.
 */
final class LineNumbers {
  private LineNumbers() {}

  /**
   * Returns the first line of each record.
   *
   * @param text CSV text
   * @return line number, from 1, of the first line of each record, including blank records
   */
  static List<Integer> firstLines(String text) {
    List<Integer> lines = new ArrayList<>();
    lines.add(1);
    int line = 1;
    boolean quoted = false;
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"') {
        quoted = !quoted;
      } else if (c == '\n' || (c == '\r' && !isFollowedByNewline(text, i))) {
        line++;
        if (!quoted) {
          lines.add(line);
        }
      }
    }
    return lines;
  }

  private static boolean isFollowedByNewline(String text, int index) {
    return index + 1 < text.length() && text.charAt(index + 1) == '\n';
  }
}
