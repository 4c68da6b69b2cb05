package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A set of numbers of occurrences, kept as ranges. Occurrences end nearly in the order of their
 * numbers, so its size depends on how many are open and not on how many have ended.
 */
final class OccurrenceSet {
  /** The last number of each range by its first one; ranges neither overlap nor touch. */
  private final TreeMap<Integer, Integer> ranges = new TreeMap<>();

  private long size;

  /**
   * Returns a set with the numbers of ranges.
   *
   * @param bounds first and last number of each range
   */
  static OccurrenceSet of(List<Integer> bounds) {
    OccurrenceSet set = new OccurrenceSet();
    for (int i = 0; i + 1 < bounds.size(); i += 2) {
      set.addRange(bounds.get(i), bounds.get(i + 1));
    }
    return set;
  }

  /** Adds a number. */
  void add(int number) {
    if (!contains(number)) {
      addRange(number, number);
    }
  }

  private void addRange(int first, int last) {
    int from = first;
    int to = last;
    Map.Entry<Integer, Integer> before = ranges.floorEntry(first);
    if (before != null && before.getValue() >= first - 1) {
      from = before.getKey();
      to = Math.max(last, before.getValue());
      remove(before.getKey());
    }
    Map.Entry<Integer, Integer> next = ranges.ceilingEntry(from);
    while (next != null && next.getKey() <= (long) to + 1) {
      to = Math.max(to, next.getValue());
      remove(next.getKey());
      next = ranges.ceilingEntry(from);
    }
    ranges.put(from, to);
    size += (long) to - from + 1;
  }

  private void remove(int first) {
    size -= (long) ranges.remove(first) - first + 1;
  }

  /** Returns whether the set contains a number. */
  boolean contains(int number) {
    Map.Entry<Integer, Integer> range = ranges.floorEntry(number);
    return range != null && range.getValue() >= number;
  }

  /** Returns the smallest number from a given one on that the set does not contain. */
  int nextMissing(int from) {
    Map.Entry<Integer, Integer> range = ranges.floorEntry(from);
    return range != null && range.getValue() >= from ? range.getValue() + 1 : from;
  }

  /** Returns how many numbers the set contains. */
  long size() {
    return size;
  }

  /** Returns the first and the last number of each range. */
  List<Integer> bounds() {
    List<Integer> bounds = new ArrayList<>(2 * ranges.size());
    ranges.forEach(
        (first, last) -> {
          bounds.add(first);
          bounds.add(last);
        });
    return bounds;
  }
}
