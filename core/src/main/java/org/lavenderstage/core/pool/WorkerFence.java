package org.lavenderstage.core.pool;

/**
 * Fencing token of the orders to one worker. A worker ignores orders with a lower token than the
 * highest that it has seen, and forgets that one when it restarts. The token rises with the owner's
 * term, and within a term whenever the worker may have restarted, so that orders meant for the
 * previous incarnation are ignored from the first order with the new token on.
 */
final class WorkerFence {
  /** Bits of a token below those of the term. */
  private static final int RESTART_BITS = 20;

  private static final long MAX_TERM = (1L << (Long.SIZE - 1 - RESTART_BITS)) - 1;

  private long token;
  private boolean confirmed;
  private boolean polled;
  private boolean restartPending;

  /**
   * Creates the fence of a worker that has not reported yet.
   *
   * @param firstToken first token, higher than all that earlier orders to the worker carried
   */
  WorkerFence(long firstToken) {
    token = firstToken;
  }

  /** Returns the lowest token of a term. */
  static long lowestToken(long term) {
    if (term < 0 || term > MAX_TERM) {
      throw new IllegalArgumentException("term out of range: " + term);
    }
    return term << RESTART_BITS;
  }

  /** Returns the token of the orders that are created now. */
  long token() {
    return token;
  }

  /** Returns whether the worker has reported to a poll with the current token. */
  boolean isConfirmed() {
    return confirmed;
  }

  /** Returns whether the worker may have restarted in this term. */
  boolean isRaised() {
    return (token & ((1L << RESTART_BITS) - 1)) != 0;
  }

  /**
   * Returns whether the worker may have restarted and has not answered a poll with the token that
   * was raised for that. Until then its incarnation may know no token, and carry out any order that
   * was sent before.
   */
  boolean isRestartPending() {
    return restartPending;
  }

  /** Returns whether a poll with the current token was sent. */
  boolean isPolled() {
    return polled;
  }

  void recordPollSent() {
    polled = true;
  }

  /**
   * Raises the token. Until it is confirmed, the worker gets only orders that no incarnation can
   * misunderstand: stops, and polls that neither renew leases nor acknowledge ended runs.
   */
  void raise() {
    token++;
    confirmed = false;
    polled = false;
    restartPending = true;
  }

  /**
   * Records a report.
   *
   * @param pollToken token of the poll that was answered
   * @return whether this confirms the current token, so that no earlier order is carried out any
   *     more
   */
  boolean recordReport(long pollToken) {
    if (confirmed || pollToken != token) {
      return false;
    }
    confirmed = true;
    restartPending = false;
    return true;
  }
}
