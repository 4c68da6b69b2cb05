package org.lavenderstage.entry.job;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.lavenderstage.entry.peer.PeerLink;
import org.lavenderstage.wire.peer.PeerMessage;

/** Links to the other entries; several questions to one entry go over links of their own. */
final class PeerLinks implements AutoCloseable {
  /** Idle links kept to one entry. */
  private static final int MAX_IDLE = 8;

  private final Map<String, Deque<PeerLink>> idle = new ConcurrentHashMap<>();
  private final int timeoutMillis;

  PeerLinks(int timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /** Asks an entry; a link that fails is not used again. */
  Optional<PeerMessage> ask(String address, PeerMessage question) throws IOException {
    PeerLink link = take(address);
    try {
      Optional<PeerMessage> reply = link.ask(question);
      giveBack(address, link);
      return reply;
    } catch (IOException e) {
      link.close();
      throw e;
    }
  }

  private PeerLink take(String address) {
    Deque<PeerLink> links = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (links) {
      PeerLink link = links.pollFirst();
      return link == null ? new PeerLink(address, timeoutMillis) : link;
    }
  }

  private void giveBack(String address, PeerLink link) {
    Deque<PeerLink> links = idle.get(address);
    synchronized (links) {
      if (links.size() < MAX_IDLE) {
        links.addFirst(link);
        return;
      }
    }
    link.close();
  }

  @Override
  public void close() {
    for (Deque<PeerLink> links : idle.values()) {
      synchronized (links) {
        links.forEach(PeerLink::close);
        links.clear();
      }
    }
  }
}
