package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import org.lavenderstage.core.job.Task;

/**
 * Records why lasting tasks that have run before wait for a place. A task that a round of placement
 * does not defer is forgotten in the next one.
 */
final class DeferralLog {
  /** Shortest time between two records of one task, in milliseconds. */
  private static final long RECORD_PAUSE_MILLIS = 1_000;

  private final DecisionLog log;
  private Map<Task, Deferral> former = new HashMap<>();
  private Map<Task, Deferral> current = new HashMap<>();

  /** Since when a task waits, in how many rounds a place was withheld, and when that was noted. */
  private record Deferral(long sinceMillis, int withheld, long notedAtMillis) {}

  DeferralLog(DecisionLog log) {
    this.log = log;
  }

  void beginRound() {
    former = current;
    current = new HashMap<>();
  }

  /** Takes that a search found no place for a task. */
  void deferred(Task task, PlacementResult search, long nowMillis) {
    if (!task.isInterrupted(nowMillis)) {
      return;
    }
    Deferral before = former.getOrDefault(task, new Deferral(nowMillis, 0, Long.MIN_VALUE / 2));
    int withheld = before.withheld() + (search instanceof PlacementResult.Withheld ? 1 : 0);
    boolean due = nowMillis - before.notedAtMillis() >= RECORD_PAUSE_MILLIS;
    if (due) {
      log.record(
          Decision.TASK_DEFERRED,
          "task",
          task.id(),
          "why",
          search.getClass().getSimpleName(),
          "withheld",
          withheld,
          "deferred-ms",
          nowMillis - before.sinceMillis());
    }
    current.put(
        task,
        new Deferral(before.sinceMillis(), withheld, due ? nowMillis : before.notedAtMillis()));
  }
}
