package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/**
 * Unanswered starts that a worker may still carry out. They are kept when an incarnation confirms a
 * raised fencing token and ignores them from then on, since a later incarnation knows no token.
 */
final class UnansweredOrders {
  /** No answer to this owner's orders shows that a start of a previous owner was received. */
  private static final long SENT_BY_PREVIOUS_OWNER = Long.MAX_VALUE;

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
  record Start(long attempt, long sentAtMillis, long unansweredSinceMillis, boolean heldBack) {
    private boolean mayCome(long monotonicMillis) {
      return monotonicMillis - unansweredSinceMillis <= WorkerLeases.MAX_ORDER_DELAY_MILLIS;
    }

    /** Returns whether a stored record of a previous owner says that the start is held back. */
    boolean isKnownFromRecord() {
      return heldBack && sentAtMillis == SENT_BY_PREVIOUS_OWNER;
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

  /**
   * Records that the worker may hold back the start of a task by a previous owner.
   *
   * @param heldBack whether the previous owner knew that, instead of that the task was started
   */
  void recordInherited(TaskId task, long attempt, boolean heldBack, long monotonicMillis) {
    Start start = new Start(attempt, SENT_BY_PREVIOUS_OWNER, monotonicMillis, heldBack);
    starts.merge(task, start, (old, latest) -> old.heldBack ? latest.asHeldBack() : latest);
  }

  /** Records that the only copy of a start was carried out. */
  void recordCarriedOut(TaskId task, long attempt) {
    starts.computeIfPresent(task, (id, start) -> start.attempt == attempt ? null : start);
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

  /** Returns whether an unanswered start of this owner may still be carried out. */
  boolean isAnyPending(long monotonicMillis) {
    return starts.values().stream()
        .anyMatch(
            start ->
                start.sentAtMillis != SENT_BY_PREVIOUS_OWNER && start.mayCome(monotonicMillis));
  }

  /**
   * Returns the tasks with unanswered starts of some kind that the worker may have carried out
   * since its last report or may still carry out.
   */
  Set<TaskId> tasks(Predicate<Start> included) {
    Set<TaskId> tasks = new HashSet<>();
    starts.forEach(
        (task, start) -> {
          if (included.test(start)) {
            tasks.add(task);
          }
        });
    return tasks;
  }
}
