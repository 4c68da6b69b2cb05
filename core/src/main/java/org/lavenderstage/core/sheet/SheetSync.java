package org.lavenderstage.core.sheet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides for one entry from which peer to fetch a version that the log does not give it in time,
 * and whether the entry can show that its version is the newest one.
 */
public final class SheetSync {
  /** How long a peer's newer version is awaited from the log first, in milliseconds. */
  public static final long FETCH_DELAY_MILLIS = 1_000;

  /** Shortest time between two fetches in milliseconds. */
  public static final long FETCH_INTERVAL_MILLIS = 300;

  private final long staleMillis;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<String, Long> failedAt = new HashMap<>();
  private long version;
  private Optional<Long> behindSince = Optional.empty();
  private Optional<Long> logShownAt = Optional.empty();
  private Optional<Long> lastFetchAt = Optional.empty();

  /**
   * Starts before the first version, without any evidence.
   *
   * @param staleMillis how long evidence counts in milliseconds
   */
  public SheetSync(long staleMillis) {
    this.staleMillis = staleMillis;
  }

  /**
   * Takes note of the version in force here.
   *
   * @param inForce the version; one below the known one is passed over
   */
  public void inForce(long inForce) {
    version = Math.max(version, inForce);
  }

  /**
   * Takes note that the whole stream up to its end was read and is in force here.
   *
   * @param readAtMillis monotonic time at which the read began
   */
  public void logShown(long readAtMillis) {
    logShownAt = Optional.of(Math.max(readAtMillis, logShownAt.orElse(readAtMillis)));
  }

  /**
   * Takes note of the version that a peer has in force.
   *
   * @param peer incarnation of the peer
   * @param peerVersion its version
   * @param nowMillis monotonic time
   */
  public void heard(String peer, long peerVersion, long nowMillis) {
    peers.put(peer, new Peer(peerVersion, nowMillis));
    peers.values().removeIf(known -> nowMillis - known.atMillis() > staleMillis);
  }

  /**
   * Names the peer to ask for a newer version.
   *
   * @param nowMillis monotonic time
   * @return the peer, empty while there is nothing to ask
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
   * Takes note that a peer gave no newer version, so that another one is asked next.
   *
   * @param peer incarnation of the peer
   * @param nowMillis monotonic time
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
   * Tells whether this entry can show that its version is the newest one: the log was read to its
   * end lately, or at least half of the other entries were heard from and none has a newer version.
   *
   * @param others count of the other entries by the VM list
   * @param nowMillis monotonic time
   * @return whether the version may be acted on
   */
  public boolean isCurrent(int others, long nowMillis) {
    if (logShownAt.filter(at -> nowMillis - at <= staleMillis).isPresent()) {
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

  /** What a peer told last. */
  private record Peer(long version, long atMillis) {}
}
