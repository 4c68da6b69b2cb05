package org.lavenderstage.core.sheet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides for one entry from which peer to fetch a version that it has not read from the log in
 * time, and whether there is evidence that the entry's version is the newest one.
 */
public final class SheetSync {
  /**
   * Time for which an entry waits for the log to deliver a newer version before it fetches that
   * from a peer, in milliseconds.
   */
  public static final long FETCH_DELAY_MILLIS = 1_000;

  /** Minimum time between two fetches in milliseconds. */
  public static final long FETCH_INTERVAL_MILLIS = 300;

  private final long staleMillis;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<String, Long> failedAt = new HashMap<>();
  private long version;
  private Optional<Long> behindSince = Optional.empty();
  private Optional<Long> logReadAt = Optional.empty();
  private Optional<Long> lastFetchAt = Optional.empty();

  /**
   * Creates the state before the first version, without any evidence.
   *
   * @param staleMillis time for which evidence is valid, in milliseconds
   */
  public SheetSync(long staleMillis) {
    this.staleMillis = staleMillis;
  }

  /**
   * Records the version in force at this entry.
   *
   * @param inForce the version; ignored if it is lower than the recorded one
   */
  public void recordVersionInForce(long inForce) {
    version = Math.max(version, inForce);
  }

  /**
   * Records that the stream was read to its end and is in force at this entry.
   *
   * @param readAtMillis monotonic time at which the read began, in milliseconds
   */
  public void recordLogRead(long readAtMillis) {
    logReadAt = Optional.of(Math.max(readAtMillis, logReadAt.orElse(readAtMillis)));
  }

  /**
   * Records the version in force at a peer.
   *
   * @param peer incarnation of the peer
   * @param peerVersion its version
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordPeerVersion(String peer, long peerVersion, long nowMillis) {
    peers.put(peer, new Peer(peerVersion, nowMillis));
    peers.values().removeIf(known -> nowMillis - known.atMillis() > staleMillis);
  }

  /**
   * Returns the peer from which to fetch a newer version, and records the fetch as started.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the peer, empty if no fetch is due
   */
  public Optional<String> nextFetch(long nowMillis) {
    Optional<String> best = newestPeer(nowMillis);
    if (best.isEmpty()) {
      behindSince = Optional.empty();
      return best;
    }
    long since = behindSince.orElse(nowMillis);
    behindSince = Optional.of(since);
    boolean tooSoon = lastFetchAt.filter(at -> nowMillis - at < FETCH_INTERVAL_MILLIS).isPresent();
    if (nowMillis - since < FETCH_DELAY_MILLIS || tooSoon) {
      return Optional.empty();
    }
    lastFetchAt = Optional.of(nowMillis);
    return best;
  }

  /**
   * Records that a peer did not return a newer version, so that the next fetch goes to another one.
   *
   * @param peer incarnation of the peer
   * @param nowMillis monotonic time in milliseconds
   */
  public void fetchFailed(String peer, long nowMillis) {
    failedAt.put(peer, nowMillis);
    failedAt.keySet().retainAll(peers.keySet());
  }

  private Optional<String> newestPeer(long nowMillis) {
    String best = "";
    Peer newest = new Peer(version, 0);
    long bestFailure = Long.MAX_VALUE;
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      long failure = failedAt.getOrDefault(entry.getKey(), Long.MIN_VALUE);
      boolean ahead = peer.version() > version && nowMillis - peer.atMillis() <= staleMillis;
      boolean better =
          failure < bestFailure || (failure == bestFailure && peer.version() > newest.version());
      if (ahead && better) {
        best = entry.getKey();
        newest = peer;
        bestFailure = failure;
      }
    }
    return best.isEmpty() ? Optional.empty() : Optional.of(best);
  }

  /**
   * Returns whether there is evidence that this entry's version is the newest one: the log was
   * recently read to its end, or heartbeats have recently arrived from at least half of the other
   * entries and none of them has a newer version.
   *
   * @param others number of the other entries according to the VM list
   * @param nowMillis monotonic time in milliseconds
   * @return whether the version may be used
   */
  public boolean isCurrent(int others, long nowMillis) {
    if (logReadAt.filter(at -> nowMillis - at <= staleMillis).isPresent()) {
      return true;
    }
    int agreeing = 0;
    for (Peer peer : peers.values()) {
      if (nowMillis - peer.atMillis() > staleMillis) {
        continue;
      }
      if (peer.version() > version) {
        return false;
      }
      agreeing++;
    }
    return agreeing > 0 && 2 * agreeing >= others;
  }

  /** The version that a peer last reported, and when. */
  private record Peer(long version, long atMillis) {}
}
