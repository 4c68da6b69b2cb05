package org.lavenderstage.wire.csv;

import java.util.ArrayList;
import java.util.List;

/** Finds the line on which each record of a CSV text starts; a quoted newline ends no record. */
final class LineNumbers {
  private LineNumbers() {}

  /**
   * Lists the first lines.
   *
   * @param text the CSV
   * @return for each record, blank ones included, its first line from one
   */
  static List<Integer> ofRecords(String text) {
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
