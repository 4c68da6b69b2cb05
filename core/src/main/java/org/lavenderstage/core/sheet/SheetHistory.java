package org.lavenderstage.core.sheet;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The rows that each of the last versions replaced, from which the changes since an older version
 * can be derived.
 */
final class SheetHistory {
  /** Maximum number of versions that are kept. */
  static final int MAX_VERSIONS = 256;

  /** Maximum number of replaced rows that are kept; those of the last version are always kept. */
  static final int MAX_ROWS = 50_000;

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private int rows;

  /**
   * Adds the change that created a version.
   *
   * @param version the version
   * @param before for each changed row its line in the previous version, empty if it had none
   */
  void add(long version, Map<String, Optional<String>> before) {
    changes.addLast(new Change(version, before));
    rows += before.size();
    while (changes.size() > MAX_VERSIONS || (rows > MAX_ROWS && changes.size() > 1)) {
      rows -= changes.removeFirst().before().size();
    }
  }

  /**
   * Returns the rows that were changed since a version.
   *
   * @param base the base version
   * @param current the version in force
   * @return for each changed row its line in the base version; empty if the changes since the base
   *     version are no longer kept
   */
  Optional<Map<String, Optional<String>>> changedSince(long base, long current) {
    long oldest = changes.isEmpty() ? current : changes.getFirst().version() - 1;
    if (base < oldest || base > current) {
      return Optional.empty();
    }
    Map<String, Optional<String>> lines = new TreeMap<>();
    Iterator<Change> newestFirst = changes.descendingIterator();
    while (newestFirst.hasNext()) {
      Change change = newestFirst.next();
      if (change.version() <= base) {
        break;
      }
      lines.putAll(change.before());
    }
    return Optional.of(lines);
  }

  /** Returns a copy of the changes, the oldest first. */
  List<SheetState.VersionChange> changes() {
    return changes.stream()
        .map(
            change ->
                new SheetState.VersionChange(
                    change.version(),
                    change.before().entrySet().stream()
                        .map(
                            row ->
                                new SheetState.ReplacedRow(row.getKey(), row.getValue().orElse("")))
                        .toList()))
        .toList();
  }

  /** Replaces all changes. */
  void restore(List<SheetState.VersionChange> kept) {
    changes.clear();
    rows = 0;
    for (SheetState.VersionChange change : kept) {
      Map<String, Optional<String>> before = new TreeMap<>();
      change
          .rows()
          .forEach(
              row ->
                  before.put(row.key(), Optional.of(row.line()).filter(line -> !line.isEmpty())));
      add(change.version(), before);
    }
  }

  /** The rows that one version replaced. */
  private record Change(long version, Map<String, Optional<String>> before) {}
}
