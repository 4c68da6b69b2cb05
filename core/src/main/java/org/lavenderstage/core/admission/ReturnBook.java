package org.lavenderstage.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The times for which refused callers of one workspace were told to come back. Returns are booked
 * one after the other at a part of the capacity, so that they find room when they come.
 */
final class ReturnBook {
  private static final double BOOKED_PART = 0.2;
  private static final long GRACE_NANOS = 300_000_000;

  private final Deque<Long> due = new ArrayDeque<>();
  private long nextFree;
  private boolean used;

  /** Books a return: the time from now in nanoseconds. */
  long book(long now, long earliestNanos, double requestsPerNano) {
    long earliest = now + earliestNanos;
    long at = used && nextFree - earliest > 0 ? nextFree : earliest;
    used = true;
    nextFree = at + Math.round(1 / (requestsPerNano * BOOKED_PART));
    due.addLast(at);
    return at - now;
  }

  /** Notes that a caller came back. */
  void returned() {
    due.pollFirst();
  }

  /** Counts the returns that are due until a time and have not come. */
  int dueUntil(long now, long until) {
    while (!due.isEmpty() && due.peekFirst() + GRACE_NANOS - now < 0) {
      due.removeFirst();
    }
    int count = 0;
    for (long at : due) {
      if (at - until > 0) {
        break;
      }
      count++;
    }
    return count;
  }

  boolean isIdle(long now) {
    return dueUntil(now, now) == 0 && due.isEmpty() && (!used || nextFree - now < 0);
  }
}
