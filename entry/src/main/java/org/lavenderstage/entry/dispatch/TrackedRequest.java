package org.lavenderstage.entry.dispatch;

/**
 * A request with the number of its try.
 *
 * @param request the request
 * @param attempts tries that have ended
 */
record TrackedRequest(DispatchRequest request, AttemptCounter attempts) {
  /** Counts the tries of one request. */
  static final class AttemptCounter {
    private static final int MAX_ATTEMPTS = 3;
    private int ended;

    /** Notes the end of a try; tells whether another one may follow. */
    boolean recordEnd() {
      ended++;
      return ended < MAX_ATTEMPTS;
    }
  }
}
