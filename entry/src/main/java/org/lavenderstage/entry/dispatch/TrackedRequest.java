package org.lavenderstage.entry.dispatch;

/**
 * A request with the number of its attempts.
 *
 * @param request the request
 * @param attempts counter of the attempts that have ended
 */
record TrackedRequest(DispatchRequest request, AttemptCounter attempts) {
  /** Counts the attempts of one request. */
  static final class AttemptCounter {
    private static final int MAX_ATTEMPTS = 3;
    private int ended;

    /** Records the end of an attempt; returns whether another one may follow. */
    boolean recordEnd() {
      ended++;
      return ended < MAX_ATTEMPTS;
    }
  }
}
