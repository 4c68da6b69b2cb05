package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.TaskId;

/**
 * Unanswered orders to a worker that may still be carried out, possibly by its next incarnation.
 */
final class UnansweredOrders {
  /** Longest delay of an unanswered order, in milliseconds; delays of 12 s have occurred. */
  private static final long MAX_DELAY_MILLIS = 15_000;

  private final Map<TaskId, Start> starts = new HashMap<>();
  private long acknowledgementPendingUntilMillis;

  /** An unanswered start. */
  record Start(int attempt, long unansweredSinceMillis) {}

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

  /**
   * Records that an acknowledgement of ended runs was not answered. A copy may reach another
   * incarnation, which would discard its own ended runs.
   */
  void recordAcknowledgement(long monotonicMillis) {
    acknowledgementPendingUntilMillis = monotonicMillis + MAX_DELAY_MILLIS;
  }

  /** Returns the monotonic time until which an unanswered acknowledgement may still arrive. */
  long acknowledgementPendingUntilMillis() {
    return acknowledgementPendingUntilMillis;
  }
}
