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

  /** Maximum number of connections on which no call has been answered yet. */
  private static final int MAX_UNPROVEN = 8;

  /** Idle connections, the most recently used first. */
  private final Deque<ClientConnection> idle = new ArrayDeque<>();

  private final Deque<Http1Client.Exchange> waiting = new ArrayDeque<>();
  private int open;

  /** Number of open connections on which no call has been answered yet. */
  private int unproven;

  /**
   * Current limit of the unproven connections. A server that is behind answers none of many new
   * connections in time, and has to work through all that were given up.
   */
  private int maxUnproven = MAX_UNPROVEN;

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

  /**
   * Reserves a place for a connection that is about to be opened, if there is one.
   *
   * @param urgent whether the connection is for an urgent call, which the limit of unproven
   *     connections does not apply to
   */
  boolean reserve(boolean urgent) {
    if (open >= MAX_OPEN || (unproven >= maxUnproven && !urgent)) {
      return false;
    }
    open++;
    unproven++;
    return true;
  }

  /** Records the first answer on a connection. */
  void recordProven() {
    unproven--;
    maxUnproven = Math.min(MAX_UNPROVEN, 2 * maxUnproven);
  }

  /** Records that a connection on which calls were answered was closed. */
  void recordClosed() {
    open--;
  }

  /** Records that a connection could not be opened, or was closed before the first answer. */
  void recordFailed() {
    open--;
    unproven--;
    maxUnproven = Math.max(1, maxUnproven / 2);
  }

  void removeIdle(ClientConnection connection) {
    idle.remove(connection);
  }

  /** Lets a call wait for a connection, an urgent one ahead of the others. */
  void await(Http1Client.Exchange exchange) {
    if (exchange.urgent()) {
      waiting.addFirst(exchange);
    } else {
      waiting.addLast(exchange);
    }
  }

  /** Takes the call that is next, urgent ones first. */
  Optional<Http1Client.Exchange> takeWaiting() {
    return Optional.ofNullable(waiting.pollFirst());
  }

  /** Returns the call that is next, which goes on waiting. */
  Optional<Http1Client.Exchange> nextWaiting() {
    return Optional.ofNullable(waiting.peekFirst());
  }

  /** Returns whether the pool has neither connections nor waiting calls. */
  boolean isUnused() {
    return open == 0 && waiting.isEmpty();
  }
}
