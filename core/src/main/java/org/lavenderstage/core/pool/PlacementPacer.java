package org.lavenderstage.core.pool;

/**
 * Determines when scheduling rounds are due: soon after a change, but with a pause in proportion to
 * the duration of the previous round, so that rounds take a bounded part of the time of the owner's
 * thread even if it falls behind.
 */
final class PlacementPacer {
  /** Shortest time between the starts of two rounds, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 10;

  /** Longest time between the starts of two rounds while nothing changes, in milliseconds. */
  private static final long MAX_INTERVAL_MILLIS = 50;

  /** Shortest pause after a round, as a multiple of its duration. */
  private static final long PAUSE_TO_DURATION_RATIO = 3;

  /**
   * Longest pause after a round, in milliseconds; a third of the time for which an interrupted
   * long-running task may wait. The process may have been suspended during the round.
   */
  private static final long MAX_PAUSE_MILLIS = 1_000;

  private boolean changed = true;
  private long lastStartMillis = Long.MIN_VALUE / 2;
  private long notBeforeMillis = Long.MIN_VALUE / 2;

  /** Records a change after which waiting tasks may find a worker. */
  void recordChange() {
    changed = true;
  }

  /** Returns the time until the next round is due, in milliseconds; 0 if it is due now. */
  long millisUntilDue(long nowMillis) {
    long dueMillis =
        changed
            ? notBeforeMillis
            : Math.max(notBeforeMillis, lastStartMillis + MAX_INTERVAL_MILLIS);
    return Math.max(0, dueMillis - nowMillis);
  }

  /** Records the start of a round. */
  void recordStart(long nowMillis) {
    changed = false;
    lastStartMillis = nowMillis;
    notBeforeMillis = nowMillis + MIN_INTERVAL_MILLIS;
  }

  /** Records the end of the latest round. */
  void recordEnd(long nowMillis) {
    long pauseMillis = PAUSE_TO_DURATION_RATIO * (nowMillis - lastStartMillis);
    notBeforeMillis =
        Math.max(notBeforeMillis, nowMillis + Math.min(MAX_PAUSE_MILLIS, pauseMillis));
  }
}
