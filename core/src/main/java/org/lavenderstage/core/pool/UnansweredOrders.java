package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/**
 * Unanswered starts that a worker may still carry out, or its next incarnation until the fencing
 * token that was raised for that one is confirmed.
 */
final class UnansweredOrders {
  private final Map<TaskId, Start> starts = new HashMap<>();
  private int startsInFlight;

  /**
   * An unanswered start.
   *
   * @param attempt number of the run
   * @param sentAtMillis monotonic time at which it was sent
   * @param unansweredSinceMillis monotonic time at which the answer was given up
   * @param heldBack whether the worker has answered a poll that was sent later; then it has
   *     probably received the start
   */
  record Start(int attempt, long sentAtMillis, long unansweredSinceMillis, boolean heldBack) {
    private boolean mayCome(long monotonicMillis) {
      return monotonicMillis - unansweredSinceMillis <= WorkerLeases.MAX_ORDER_DELAY_MILLIS;
    }

    private Start asHeldBack() {
      return new Start(attempt, sentAtMillis, unansweredSinceMillis, true);
    }
  }

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
  void recordStart(Order.Start order, boolean heldBack, long monotonicMillis) {
    Run run = order.run();
    Start start = new Start(run.attempt(), order.sentAtMillis(), monotonicMillis, heldBack);
    starts.merge(
        run.task().id(), start, (old, latest) -> old.heldBack ? latest.asHeldBack() : latest);
  }

  /** Records a report to a poll sent at a monotonic time. */
  void recordReport(long polledMillis) {
    starts.values().removeIf(start -> !start.mayCome(polledMillis));
    starts.replaceAll(
        (task, start) -> start.sentAtMillis <= polledMillis ? start.asHeldBack() : start);
  }

  /** Returns the unanswered starts that may still be carried out. */
  Map<TaskId, Start> starts(long monotonicMillis) {
    Map<TaskId, Start> pending = new HashMap<>(starts);
    pending.values().removeIf(start -> !start.mayCome(monotonicMillis));
    return pending;
  }

  /** Returns whether an unanswered start may still be carried out. */
  boolean isAnyPending(long monotonicMillis) {
    return starts.values().stream().anyMatch(start -> start.mayCome(monotonicMillis));
  }

  /**
   * Returns the unanswered start of a task that the worker may have carried out since its last
   * report, or may still carry out.
   */
  Optional<Start> sinceLastReport(TaskId task) {
    return Optional.ofNullable(starts.get(task));
  }

  /** Returns the number of unanswered starts since the last report, carried out or not. */
  int countSinceLastReport() {
    return starts.size();
  }

  /** Records that the worker ignores all orders sent so far that it has not carried out yet. */
  void clear() {
    starts.clear();
  }
}
