package org.lavenderstage.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Lists what differs between two versions of a configuration. */
public final class ConfigurationDifference {
  private ConfigurationDifference() {}

  /**
   * Compares two versions.
   *
   * @param inForce the version in force
   * @param draft the version to be published
   * @return a line for each entry that is added or removed and for each field that differs, sorted
   */
  public static List<String> lines(ConfigurationDraft inForce, ConfigurationDraft draft) {
    List<String> lines = new ArrayList<>();
    for (String entry : union(inForce.attributes(), draft.attributes())) {
      Map<String, String> before = inForce.attributes().get(entry);
      Map<String, String> after = draft.attributes().get(entry);
      if (before == null) {
        lines.add("+ " + entry + " " + new TreeMap<>(after));
      } else if (after == null) {
        lines.add("- " + entry + " " + new TreeMap<>(before));
      } else {
        addChangedFields(entry, before, after, lines);
      }
    }
    return lines;
  }

  private static void addChangedFields(
      String entry, Map<String, String> before, Map<String, String> after, List<String> lines) {
    for (String field : union(before, after)) {
      String from = before.getOrDefault(field, "not set");
      String to = after.getOrDefault(field, "not set");
      if (!from.equals(to)) {
        lines.add("~ " + entry + " " + field + ": " + from + " -> " + to);
      }
    }
  }

  private static Set<String> union(Map<String, ?> first, Map<String, ?> second) {
    TreeSet<String> keys = new TreeSet<>(first.keySet());
    keys.addAll(second.keySet());
    return keys;
  }
}
