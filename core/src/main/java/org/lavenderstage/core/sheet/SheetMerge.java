package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Merges a published sheet, row by row, with the rows that other operators have changed since its
 * base version.
 */
final class SheetMerge {
  private SheetMerge() {}

  /**
   * Merges three versions of the rows. A row that was changed since the base version and then
   * changed back still conflicts, so that a delayed commit never undoes a later decision.
   *
   * @param changed rows that were changed since the base version, with their lines in the base
   *     version, empty for none
   * @param current lines of the version in force, by key
   * @param published lines of the published sheet, by key
   * @return the merged lines, and the keys of the rows that were changed differently on both sides
   */
  static Result merge(
      Map<String, Optional<String>> changed,
      Map<String, String> current,
      Map<String, String> published) {
    TreeMap<String, String> merged = new TreeMap<>(published);
    List<String> conflicts = new ArrayList<>();
    for (Map.Entry<String, Optional<String>> row : changed.entrySet()) {
      Optional<String> currentLine = Optional.ofNullable(current.get(row.getKey()));
      Optional<String> publishedLine = Optional.ofNullable(published.get(row.getKey()));
      if (publishedLine.equals(row.getValue())) {
        currentLine.ifPresentOrElse(
            line -> merged.put(row.getKey(), line), () -> merged.remove(row.getKey()));
      } else if (!publishedLine.equals(currentLine)) {
        conflicts.add(row.getKey());
      }
    }
    return new Result(merged, conflicts);
  }

  /**
   * Returns the rows that differ between two versions.
   *
   * @param before lines of one version, by key
   * @param after lines of the next version, by key
   * @return for each differing row its line in the first version, empty if it has none
   */
  static Map<String, Optional<String>> difference(
      Map<String, String> before, Map<String, String> after) {
    Map<String, Optional<String>> changed = new TreeMap<>();
    TreeSet<String> keys = new TreeSet<>(before.keySet());
    keys.addAll(after.keySet());
    for (String key : keys) {
      Optional<String> line = Optional.ofNullable(before.get(key));
      if (!line.equals(Optional.ofNullable(after.get(key)))) {
        changed.put(key, line);
      }
    }
    return changed;
  }

  /**
   * The merged rows.
   *
   * @param rows lines, by key
   * @param conflicts keys of the rows that were changed differently on both sides
   */
  record Result(TreeMap<String, String> rows, List<String> conflicts) {}

  /** Strategy for merging rows; tests replace it by defective ones. */
  @FunctionalInterface
  interface Rule {
    /**
     * Merges three versions of the rows.
     *
     * @param changed rows that were changed since the base version, with their lines in the base
     *     version, empty for none
     * @param current lines of the version in force, by key
     * @param published lines of the published sheet, by key
     * @return the merged rows
     */
    Result merge(
        Map<String, Optional<String>> changed,
        Map<String, String> current,
        Map<String, String> published);
  }
}
