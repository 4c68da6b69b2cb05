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
 * A simple model of the configuration, which keeps every version completely and compares them row
 * by row.
 */
final class SheetModel {
  private final List<Map<String, String>> versions = new ArrayList<>(List.of(Map.of()));
  private final Map<String, Set<Integer>> arrived = new HashMap<>();
  private final Set<String> committed = new HashSet<>();

  int version() {
    return versions.size() - 1;
  }

  Map<String, String> rows(int version) {
    return versions.get(version);
  }

  void part(String sheet, int index) {
    arrived.computeIfAbsent(sheet, key -> new HashSet<>()).add(index);
  }

  /**
   * Applies a commit; returns the conflicting rows, none if the commit takes effect or is ignored.
   */
  Set<String> commit(String sheet, int parts, int base, Map<String, String> published) {
    if (!committed.add(sheet) || arrived.getOrDefault(sheet, Set.of()).size() != parts) {
      return Set.of();
    }
    Set<String> changed = changedSince(base);
    Set<String> conflicts = new TreeSet<>();
    Map<String, String> next = new TreeMap<>(rows(version()));
    for (String key : keys(rows(base), published, next)) {
      String before = rows(base).getOrDefault(key, "");
      String wanted = published.getOrDefault(key, "");
      if (wanted.equals(before)) {
        continue;
      }
      if (changed.contains(key) && !wanted.equals(next.getOrDefault(key, ""))) {
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

  private Set<String> changedSince(int base) {
    Set<String> changed = new TreeSet<>();
    for (int version = base + 1; version < versions.size(); version++) {
      Map<String, String> before = rows(version - 1);
      Map<String, String> after = rows(version);
      for (String key : keys(before, after, Map.of())) {
        if (!before.getOrDefault(key, "").equals(after.getOrDefault(key, ""))) {
          changed.add(key);
        }
      }
    }
    return changed;
  }

  private static Set<String> keys(
      Map<String, String> first, Map<String, String> second, Map<String, String> third) {
    Set<String> keys = new TreeSet<>(first.keySet());
    keys.addAll(second.keySet());
    keys.addAll(third.keySet());
    return keys;
  }
}
