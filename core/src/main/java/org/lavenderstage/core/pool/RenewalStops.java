package org.lavenderstage.core.pool;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Remembers since when an entry knows that decisions to stop the renewal of leases are stored. If
 * the entry becomes the owner, it need not wait for the whole length of a lease that was renewed
 * for the last time long before. Thread-safe.
 */
public final class RenewalStops {
  /** Maximum number of times that are remembered; without the others a new owner waits longer. */
  private static final int MAX_TIMES = 256;

  private final TreeMap<Long, Long> knownSinceMillis = new TreeMap<>();

  /**
   * Records that all decisions up to a number are stored.
   *
   * @param upTo number of the last stored decision, 0 if there is none
   * @param nowMillis monotonic time in milliseconds
   */
  public synchronized void recordStored(long upTo, long nowMillis) {
    if (upTo == 0 || (!knownSinceMillis.isEmpty() && knownSinceMillis.lastKey() >= upTo)) {
      return;
    }
    knownSinceMillis.put(upTo, nowMillis);
    if (knownSinceMillis.size() > MAX_TIMES) {
      knownSinceMillis.pollFirstEntry();
    }
  }

  /**
   * Returns when it became known that a decision is stored.
   *
   * @param number number of the decision
   * @return monotonic time in milliseconds at which the decision was already stored, empty if none
   *     is known
   */
  public synchronized OptionalLong knownSinceMillis(long number) {
    Map.Entry<Long, Long> first = knownSinceMillis.ceilingEntry(number);
    return first == null ? OptionalLong.empty() : OptionalLong.of(first.getValue());
  }
}
