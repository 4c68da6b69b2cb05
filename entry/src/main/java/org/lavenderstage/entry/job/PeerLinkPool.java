package org.lavenderstage.entry.job;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.lavenderstage.entry.peer.PeerLink;
import org.lavenderstage.wire.peer.PeerMessage;

/** A pool of links to the other entries. Concurrent queries to one entry use separate links. */
final class PeerLinkPool implements AutoCloseable {
  /** Maximum number of idle links that are kept for each entry. */
  private static final int MAX_IDLE = 8;

  private final Map<String, Deque<PeerLink>> idleLinks = new ConcurrentHashMap<>();
  private final int timeoutMillis;

  PeerLinkPool(int timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Sends a query to an entry and returns the reply. A link that fails is not used again. A timeout
   * also closes the idle links to the entry: they may be as silent, and each would cost another
   * timeout.
   */
  Optional<PeerMessage> ask(String address, PeerMessage query) throws IOException {
    PeerLink link = acquire(address);
    try {
      Optional<PeerMessage> reply = link.exchange(query);
      release(address, link);
      return reply;
    } catch (SocketTimeoutException e) {
      link.close();
      closeIdle(idleLinks.get(address));
      throw e;
    } catch (IOException e) {
      link.close();
      throw e;
    }
  }

  private PeerLink acquire(String address) {
    Deque<PeerLink> links = idleLinks.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (links) {
      PeerLink link = links.pollFirst();
      return link == null ? new PeerLink(address, timeoutMillis) : link;
    }
  }

  private void release(String address, PeerLink link) {
    Deque<PeerLink> links = idleLinks.get(address);
    synchronized (links) {
      if (links.size() < MAX_IDLE) {
        links.addFirst(link);
        return;
      }
    }
    link.close();
  }

  private static void closeIdle(Deque<PeerLink> links) {
    synchronized (links) {
      links.forEach(PeerLink::close);
      links.clear();
    }
  }

  @Override
  public void close() {
    idleLinks.values().forEach(PeerLinkPool::closeIdle);
  }
}
