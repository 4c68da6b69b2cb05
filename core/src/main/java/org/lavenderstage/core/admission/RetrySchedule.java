package org.lavenderstage.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The times at which refused callers of one workspace were told to retry. Retries are scheduled one
 * after another at a fraction of the workspace's capacity, so that each finds a free slot when it
 * arrives.
 */
final class RetrySchedule {
  /** Fraction of the workspace's capacity that scheduled retries get. */
  private static final double CAPACITY_FRACTION = 0.2;

  /** A retry that is later than this is no longer expected. */
  private static final long LATE_RETRY_GRACE_NANOS = 300_000_000;

  private final Deque<Long> dueTimes = new ArrayDeque<>();
  private long nextFreeAt;
  private boolean nextFreeKnown;

  /** Schedules a retry and returns its delay from now in nanoseconds. */
  long schedule(long now, long earliestNanos, double requestsPerNano) {
    long earliest = now + earliestNanos;
    long retryAt = nextFreeKnown && nextFreeAt - earliest > 0 ? nextFreeAt : earliest;
    nextFreeKnown = true;
    nextFreeAt = retryAt + Math.round(1 / (requestsPerNano * CAPACITY_FRACTION));
    dueTimes.addLast(retryAt);
    return retryAt - now;
  }

  /** Records the arrival of a scheduled retry. */
  void retryArrived() {
    dueTimes.pollFirst();
  }

  /** Returns the number of retries that are due until the given time and have not arrived. */
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
