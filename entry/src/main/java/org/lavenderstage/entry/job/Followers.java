package org.lavenderstage.entry.job;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The entries that recognize this one as the owner of the jobs. While the store does not confirm
 * the ownership, a majority of the entries may do so instead: a later owner, which reaches the
 * store, announces itself to the others, so that a previous owner keeps only the few followers that
 * are disconnected together with it. Thread-safe.
 */
final class Followers {
  private final long validMillis;
  private final Map<String, Long> lastQueryMillis = new ConcurrentHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param validMillis how long an entry counts as a follower after its last query, in milliseconds
   */
  Followers(long validMillis) {
    this.validMillis = validMillis;
  }

  /** Records that an entry recognizes this one as the owner. */
  void addFollower(String entry, long nowMillis) {
    lastQueryMillis.put(entry, nowMillis);
  }

  /** Records that an entry knows a later owner. */
  void removeFollower(String entry) {
    lastQueryMillis.remove(entry);
  }

  /**
   * Returns whether there are followers that together with the owner form a majority of all
   * entries.
   *
   * @param otherEntries number of known entries besides the owner
   * @param nowMillis monotonic time in milliseconds
   * @return whether the owner and its followers form a majority
   */
  boolean formMajority(int otherEntries, long nowMillis) {
    lastQueryMillis.values().removeIf(queriedAtMillis -> nowMillis - queriedAtMillis > validMillis);
    int count = lastQueryMillis.size();
    return count > 0 && 2 * (count + 1) > otherEntries + 1;
  }
}
