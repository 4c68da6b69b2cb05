package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.TaskId;

/**
 * Unanswered starts that a worker may still carry out, or its next incarnation until the fencing
 * token that was raised for that one is confirmed.
 */
final class UnansweredOrders {
  /** Longest delay of an unanswered order, in milliseconds; delays of 12 s have occurred. */
  private static final long MAX_DELAY_MILLIS = 15_000;

  private final Map<TaskId, Start> starts = new HashMap<>();
  private int startsInFlight;

  /** An unanswered start. */
  record Start(int attempt, long unansweredSinceMillis) {}

  /** Records that a start is being sent. */
  void recordStartSent() {
    startsInFlight++;
  }

  /** Records that a start was answered or has failed. */
  void recordStartEnded() {
    startsInFlight--;
  }

  /** Returns whether a start was sent that has neither been answered nor failed yet. */
  boolean isStartInFlight() {
    return startsInFlight > 0;
  }

  /** Records that a start was not answered, so that a copy of it may be carried out later. */
  void recordStart(TaskId task, int attempt, long monotonicMillis) {
    starts.put(task, new Start(attempt, monotonicMillis));
  }

  /** Returns the unanswered starts that may still be carried out. */
  Map<TaskId, Start> starts(long monotonicMillis) {
    starts
        .values()
        .removeIf(start -> monotonicMillis - start.unansweredSinceMillis > MAX_DELAY_MILLIS);
    return starts;
  }

  /** Returns the number of unanswered starts since the worker last ignored all earlier orders. */
  int count() {
    return starts.size();
  }

  /** Records that the worker ignores all orders sent so far that it has not carried out yet. */
  void clear() {
    starts.clear();
  }
}
