package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** Merges a published sheet with the rows that others changed since its base, row by row. */
final class SheetMerge {
  private SheetMerge() {}

  /**
   * Merges three versions of the rows. A row that was changed since the base and changed back still
   * conflicts, so that a commit that comes late never undoes what was decided after its base.
   *
   * @param changed rows that were changed since the base, with their lines in the base
   * @param current lines of the version in force by key
   * @param mine lines of the published sheet by key
   * @return the merged lines and the keys of the rows that both changed in different ways
   */
  static Result merge(
      Map<String, Optional<String>> changed,
      Map<String, String> current,
      Map<String, String> mine) {
    TreeMap<String, String> merged = new TreeMap<>(mine);
    List<String> conflicts = new ArrayList<>();
    for (Map.Entry<String, Optional<String>> row : changed.entrySet()) {
      Optional<String> now = Optional.ofNullable(current.get(row.getKey()));
      Optional<String> wanted = Optional.ofNullable(mine.get(row.getKey()));
      if (wanted.equals(row.getValue())) {
        now.ifPresentOrElse(
            line -> merged.put(row.getKey(), line), () -> merged.remove(row.getKey()));
      } else if (!wanted.equals(now)) {
        conflicts.add(row.getKey());
      }
    }
    return new Result(merged, conflicts);
  }

  /**
   * Lists the rows that differ.
   *
   * @param before lines of one version by key
   * @param after lines of the next version by key
   * @return for each row that differs its line in the first version, empty for none
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
   * @param rows lines by key
   * @param conflicts keys of the rows that both changed in different ways
   */
  record Result(TreeMap<String, String> rows, List<String> conflicts) {}

  /** How rows are merged. */
  @FunctionalInterface
  interface Rule {
    /**
     * Merges three versions of the rows.
     *
     * @param changed rows that differ between base and current, with their lines in the base
     * @param current lines of the version in force by key
     * @param mine lines of the published sheet by key
     * @return the merged rows
     */
    Result merge(
        Map<String, Optional<String>> changed,
        Map<String, String> current,
        Map<String, String> mine);
  }
}
