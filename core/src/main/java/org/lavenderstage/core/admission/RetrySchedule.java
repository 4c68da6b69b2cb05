package org.lavenderstage.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The times for which refused callers of one workspace were told to come back. Returns are booked
 * one after the other at a part of the capacity, so that they find room when they come.
 */
final class RetrySchedule {
  private static final double CAPACITY_FRACTION = 0.2;
  private static final long LATE_RETRY_GRACE_NANOS = 300_000_000;

  private final Deque<Long> dueTimes = new ArrayDeque<>();
  private long nextFreeAt;
  private boolean nextFreeKnown;

  /** Books a return: the time from now in nanoseconds. */
  long schedule(long now, long earliestNanos, double requestsPerNano) {
    long earliest = now + earliestNanos;
    long retryAt = nextFreeKnown && nextFreeAt - earliest > 0 ? nextFreeAt : earliest;
    nextFreeKnown = true;
    nextFreeAt = retryAt + Math.round(1 / (requestsPerNano * CAPACITY_FRACTION));
    dueTimes.addLast(retryAt);
    return retryAt - now;
  }

  /** Notes that a caller came back. */
  void retryArrived() {
    dueTimes.pollFirst();
  }

  /** Counts the returns that are due until a time and have not come. */
  int dueUntil(long now, long until) {
    while (!dueTimes.isEmpty() && dueTimes.peekFirst() + LATE_RETRY_GRACE_NANOS - now < 0) {
      dueTimes.removeFirst();
    }
    int count = 0;
    for (long retryAt : dueTimes) {
      if (retryAt - until > 0) {
        break;
      }
      count++;
    }
    return count;
  }

  boolean isIdle(long now) {
    return dueUntil(now, now) == 0
        && dueTimes.isEmpty()
        && (!nextFreeKnown || nextFreeAt - now < 0);
  }
}
