package org.lavenderstage.entry.job;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The entries that take this one for the owner of the jobs. While the store does not prove the
 * claim, a majority of them stands in for it: a later owner that reaches the store tells the
 * others, so that a former one keeps a few at most that are cut off with it. Threads may share it.
 */
final class Followers {
  private final long validMillis;
  private final Map<String, Long> heardMillis = new ConcurrentHashMap<>();

  /**
   * Makes an empty set.
   *
   * @param validMillis how long an entry counts after it was heard
   */
  Followers(long validMillis) {
    this.validMillis = validMillis;
  }

  /** Notes that an entry takes this one for the owner. */
  void heard(String entry, long nowMillis) {
    heardMillis.put(entry, nowMillis);
  }

  /** Notes that an entry knows a later owner. */
  void left(String entry) {
    heardMillis.remove(entry);
  }

  /**
   * Tells whether some follow, and are a majority of all entries together with the owner.
   *
   * @param otherEntries number of the entries that are known beside the owner
   * @param nowMillis steady time in milliseconds
   * @return whether they are
   */
  boolean areMajority(int otherEntries, long nowMillis) {
    heardMillis.values().removeIf(heard -> nowMillis - heard > validMillis);
    int count = heardMillis.size();
    return count > 0 && 2 * (count + 1) > otherEntries + 1;
  }
}
