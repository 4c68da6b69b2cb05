package org.lavenderstage.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The connections of a client to one address, and the calls that wait for one of them. Used only by
 * the event loop.
 */
final class ConnectionPool {
  /**
   * Maximum number of open connections. Servers limit the number that they accept from all clients
   * together.
   */
  private static final int MAX_OPEN = 32;

  /**
   * Maximum number of idle connections that are kept. A burst needs many at once, but a client that
   * kept them all would shut out others that serve the same address.
   */
  private static final int MAX_IDLE = 8;

  /** Idle connections, the most recently used first. */
  private final Deque<ClientConnection> idle = new ArrayDeque<>();

  private final Deque<Http1Client.Exchange> waiting = new ArrayDeque<>();
  private int open;

  /** Takes the most recently used idle connection. */
  Optional<ClientConnection> takeIdle() {
    return Optional.ofNullable(idle.pollFirst());
  }

  /** Keeps a connection for the next call. Returns whether there is a place for it. */
  boolean keepIdle(ClientConnection connection) {
    if (idle.size() >= MAX_IDLE) {
      return false;
    }
    idle.addFirst(connection);
    return true;
  }

  /** Returns the idle connections, as a copy. */
  List<ClientConnection> idle() {
    return List.copyOf(idle);
  }

  /** Reserves a place for a connection that is about to be opened, if there is one. */
  boolean reserve() {
    if (open >= MAX_OPEN) {
      return false;
    }
    open++;
    return true;
  }

  /** Records that a connection was closed or could not be opened. */
  void recordClosed() {
    open--;
  }

  void removeIdle(ClientConnection connection) {
    idle.remove(connection);
  }

  /** Lets a call wait for a connection. */
  void await(Http1Client.Exchange exchange) {
    waiting.addLast(exchange);
  }

  /** Takes the call that has waited longest. */
  Optional<Http1Client.Exchange> takeWaiting() {
    return Optional.ofNullable(waiting.pollFirst());
  }

  /** Returns whether the pool has neither connections nor waiting calls. */
  boolean isUnused() {
    return open == 0 && waiting.isEmpty();
  }
}
