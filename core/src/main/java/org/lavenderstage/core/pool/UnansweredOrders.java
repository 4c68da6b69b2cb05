package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/**
 * Unanswered starts that a worker may still carry out. They are kept when an incarnation confirms a
 * raised fencing token and ignores them from then on, since a later incarnation knows no token.
 */
final class UnansweredOrders {
  private final Map<TaskId, Start> starts = new HashMap<>();
  private int startsInFlight;
  private long lastAnsweredSentMillis = Long.MIN_VALUE / 2;

  /**
   * An unanswered start.
   *
   * @param attempt number of the run
   * @param sentAtMillis monotonic time at which it was sent
   * @param unansweredSinceMillis monotonic time at which the answer was given up
   * @param heldBack whether the worker has answered an order that was sent later; then it has
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
  void recordStart(Order.Start order, long monotonicMillis) {
    Run run = order.run();
    boolean heldBack = order.sentAtMillis() <= lastAnsweredSentMillis;
    Start start = new Start(run.attempt(), order.sentAtMillis(), monotonicMillis, heldBack);
    starts.merge(
        run.task().id(), start, (old, latest) -> old.heldBack ? latest.asHeldBack() : latest);
  }

  /** Records that the worker has answered an order that was sent at a monotonic time. */
  void recordAnswer(long sentMillis) {
    lastAnsweredSentMillis = Math.max(lastAnsweredSentMillis, sentMillis);
    starts.replaceAll(
        (task, start) -> start.sentAtMillis <= sentMillis ? start.asHeldBack() : start);
  }

  /** Records a report to a poll sent at a monotonic time. */
  void recordReport(long polledMillis) {
    starts.values().removeIf(start -> !start.mayCome(polledMillis));
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
}
