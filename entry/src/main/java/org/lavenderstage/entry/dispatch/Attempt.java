package org.lavenderstage.entry.dispatch;

/**
 * A request with the number of its try.
 *
 * @param request the request
 * @param tries tries that have ended
 */
record Attempt(DispatchRequest request, Tries tries) {
  /** Counts the tries of one request. */
  static final class Tries {
    private static final int MOST = 3;
    private int ended;

    /** Notes the end of a try; tells whether another one may follow. */
    boolean mayFollow() {
      ended++;
      return ended < MOST;
    }
  }
}
