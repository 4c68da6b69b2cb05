package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A plain model of the configuration: every version is kept whole, and rows are compared by hand.
 */
final class SheetModel {
  private final List<Map<String, String>> versions = new ArrayList<>(List.of(Map.of()));
  private final Map<String, Set<Integer>> arrived = new HashMap<>();
  private final Set<String> judged = new HashSet<>();

  int version() {
    return versions.size() - 1;
  }

  Map<String, String> rows(int version) {
    return versions.get(version);
  }

  void part(String sheet, int index) {
    arrived.computeIfAbsent(sheet, key -> new HashSet<>()).add(index);
  }

  /** Judges a commit; returns the conflicting rows, or empty where it takes effect or is void. */
  Set<String> commit(String sheet, int parts, int base, Map<String, String> mine) {
    if (!judged.add(sheet) || arrived.getOrDefault(sheet, Set.of()).size() != parts) {
      return Set.of();
    }
    Set<String> touched = touchedSince(base);
    Set<String> conflicts = new TreeSet<>();
    Map<String, String> next = new TreeMap<>(rows(version()));
    for (String key : keys(rows(base), mine, next)) {
      String before = rows(base).getOrDefault(key, "");
      String wanted = mine.getOrDefault(key, "");
      if (wanted.equals(before)) {
        continue;
      }
      if (touched.contains(key) && !wanted.equals(next.getOrDefault(key, ""))) {
        conflicts.add(key);
      } else if (wanted.isEmpty()) {
        next.remove(key);
      } else {
        next.put(key, wanted);
      }
    }
    if (conflicts.isEmpty()) {
      versions.add(next);
    }
    return conflicts;
  }

  private Set<String> touchedSince(int base) {
    Set<String> touched = new TreeSet<>();
    for (int version = base + 1; version < versions.size(); version++) {
      Map<String, String> before = rows(version - 1);
      Map<String, String> after = rows(version);
      for (String key : keys(before, after, Map.of())) {
        if (!before.getOrDefault(key, "").equals(after.getOrDefault(key, ""))) {
          touched.add(key);
        }
      }
    }
    return touched;
  }

  private static Set<String> keys(
      Map<String, String> first, Map<String, String> second, Map<String, String> third) {
    Set<String> keys = new TreeSet<>(first.keySet());
    keys.addAll(second.keySet());
    keys.addAll(third.keySet());
    return keys;
  }
}
