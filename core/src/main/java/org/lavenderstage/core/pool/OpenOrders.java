package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.TaskId;

/** Orders to a worker that got no answer and may still be carried out, also by its next life. */
final class OpenOrders {
  /** Longest time after which a lost order is still carried out, in milliseconds; seen: 12 s. */
  private static final long LONGEST_DELAY_MILLIS = 15_000;

  private final Map<TaskId, Start> starts = new HashMap<>();
  private long forgettingUntil;

  /** A start without an answer. */
  record Start(int attempt, long sinceMillis) {}

  /** Notes that a start got no answer, so that a copy of it may still be carried out later. */
  void startLeftOpen(TaskId task, int attempt, long monotonicMillis) {
    starts.put(task, new Start(attempt, monotonicMillis));
  }

  /** Returns the starts that got no answer and may still be carried out. */
  Map<TaskId, Start> starts(long monotonicMillis) {
    starts.values().removeIf(open -> monotonicMillis - open.sinceMillis > LONGEST_DELAY_MILLIS);
    return starts;
  }

  /** Notes that an order to forget ends got no answer; a copy may reach another life's ends. */
  void forgettingLeftOpen(long monotonicMillis) {
    forgettingUntil = monotonicMillis + LONGEST_DELAY_MILLIS;
  }

  /** Returns the steady time until which an order to forget ends may still be carried out. */
  long forgettingUntil() {
    return forgettingUntil;
  }
}
