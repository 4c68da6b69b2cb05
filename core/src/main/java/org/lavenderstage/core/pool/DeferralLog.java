package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.lavenderstage.core.job.Task;

/**
 * Logs why interrupted long-running tasks wait for a worker. A task that is not deferred in one
 * scheduling round is forgotten in the next.
 */
final class DeferralLog {
  /** Minimum time between two records of one task, in milliseconds. */
  private static final long RECORD_INTERVAL_MILLIS = 1_000;

  private final DecisionLog log;
  private Map<Task, Deferral> previous = new HashMap<>();
  private Map<Task, Deferral> current = new HashMap<>();

  /**
   * The start of a task's wait, the number of rounds in which a worker was withheld from it, and
   * when the wait was last logged.
   */
  private record Deferral(long sinceMillis, int withheldRounds, long recordedAtMillis) {}

  DeferralLog(DecisionLog log) {
    this.log = log;
  }

  void beginRound() {
    previous = current;
    current = new HashMap<>();
  }

  /**
   * Records that a search found no worker for a task.
   *
   * @param result the result of the search
   * @param fitCounts supplies the number of workers for each reason; called only if the wait is
   *     logged
   * @param nowMillis monotonic time in milliseconds
   */
  void recordDeferred(
      Task task, PlacementResult result, Supplier<Map<Fit, Integer>> fitCounts, long nowMillis) {
    if (!task.isInterrupted(nowMillis)) {
      return;
    }
    Deferral before = previous.getOrDefault(task, new Deferral(nowMillis, 0, Long.MIN_VALUE / 2));
    int withheldRounds =
        before.withheldRounds() + (result instanceof PlacementResult.Withheld ? 1 : 0);
    boolean due = nowMillis - before.recordedAtMillis() >= RECORD_INTERVAL_MILLIS;
    if (due) {
      log.record(
          Decision.TASK_DEFERRED,
          "task",
          task.id(),
          "why",
          result.getClass().getSimpleName(),
          "withheld",
          withheldRounds,
          "deferred-ms",
          nowMillis - before.sinceMillis(),
          "cpu",
          task.step().spec().cpuMillis(),
          "workers",
          fitCounts.get());
    }
    current.put(
        task,
        new Deferral(
            before.sinceMillis(), withheldRounds, due ? nowMillis : before.recordedAtMillis()));
  }
}
