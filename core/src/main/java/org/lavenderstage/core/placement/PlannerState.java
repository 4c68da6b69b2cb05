package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.TaskUsage;
import org.lavenderstage.core.interference.UsageReport;

/**
 * The state that a planner keeps between plans: its recent commands, its reservations and the last
 * reports of the workers.
 */
final class PlannerState {
  private static final long COMMAND_TIMEOUT_MILLIS = 10_000;

  private final WorkerHealth health;
  private final Map<String, UsageReport> lastReports = new HashMap<>();
  private final Map<String, ThrottleState> throttleStates = new HashMap<>();
  private final Map<String, Eviction> evictions = new HashMap<>();
  private final Map<String, Reservation> reservations = new HashMap<>();
  private long nowMillis;

  PlannerState(WorkerHealth health) {
    this.health = health;
  }

  WorkerHealth health() {
    return health;
  }

  void beginPlan(long planTimeMillis) {
    nowMillis = planTimeMillis;
    evictions.values().removeIf(eviction -> isTimedOut(eviction.commandedAtMillis()));
    reservations.values().removeIf(reservation -> isTimedOut(reservation.reservedAtMillis()));
  }

  private boolean isTimedOut(long atMillis) {
    return nowMillis - atMillis > COMMAND_TIMEOUT_MILLIS;
  }

  /**
   * Stores the latest report of a worker. A report also corrects whether a task is considered
   * throttled if its measured interval starts after the last command has timed out, or if no
   * command is known: a command can be lost, and a previous owner may have throttled the task.
   */
  void recordReport(UsageReport report) {
    UsageReport previous = lastReports.get(report.worker());
    if (previous == null || previous.toMillis() <= report.toMillis()) {
      lastReports.put(report.worker(), report);
    }
    for (TaskUsage task : report.tasks()) {
      ThrottleState last = throttleStates.get(task.job());
      boolean isTracked = last != null && last.attempt() >= task.attempt();
      boolean isSuperseded =
          isTracked
              ? last.changedAtMillis() + COMMAND_TIMEOUT_MILLIS < report.fromMillis()
              : task.throttled();
      if (isSuperseded) {
        long sinceMillis =
            isTracked && last.active() == task.throttled()
                ? last.changedAtMillis()
                : report.toMillis();
        throttleStates.put(
            task.job(), new ThrottleState(task.attempt(), task.throttled(), sinceMillis));
      }
    }
  }

  List<String> services(String worker) {
    UsageReport report = lastReports.get(worker);
    return report == null
        ? List.of()
        : report.services().stream().map(ServiceUsage::service).toList();
  }

  UsageReport lastReport(String worker) {
    return lastReports.get(worker);
  }

  boolean isThrottled(TaskView task) {
    ThrottleState last = throttleStates.get(task.id);
    return last != null && last.active() && last.attempt() == task.job.attempt();
  }

  long throttledForMillis(TaskView task) {
    return isThrottled(task) ? nowMillis - throttleStates.get(task.id).changedAtMillis() : 0;
  }

  void throttle(TaskView task) {
    throttleStates.put(task.id, new ThrottleState(task.job.attempt(), true, nowMillis));
  }

  void unthrottle(TaskView task) {
    throttleStates.put(task.id, new ThrottleState(task.job.attempt(), false, nowMillis));
  }

  boolean isEvicting(TaskView task) {
    Eviction eviction = evictions.get(task.id);
    return eviction != null && eviction.attempt() == task.job.attempt();
  }

  void evict(TaskView task) {
    evictions.put(task.id, new Eviction(task.job.attempt(), nowMillis));
  }

  void forgetCommands(String job) {
    throttleStates.remove(job);
    evictions.remove(job);
  }

  /** Removes the state of jobs that have reached a final state. */
  void retainJobs(Predicate<String> isLive) {
    throttleStates.keySet().removeIf(isLive.negate());
    health.retainJobs(isLive);
  }

  /** Drops reservations of jobs that no longer wait, and those on workers that no longer exist. */
  void retainReservations(CellView view) {
    if (reservations.isEmpty()) {
      return;
    }
    reservations.keySet().retainAll(view.waiting.stream().map(task -> task.id).toList());
    reservations
        .values()
        .removeIf(reserved -> !view.workerViewsById.containsKey(reserved.worker()));
  }

  Map<String, Reservation> reservations() {
    return reservations;
  }

  void reserve(TaskView task, String worker) {
    reservations.put(task.id, new Reservation(worker, task.demand, nowMillis));
  }

  /** An eviction command for one attempt. */
  private record Eviction(int attempt, long commandedAtMillis) {}

  /** Whether an attempt is throttled, and since when it is or is not. */
  private record ThrottleState(int attempt, boolean active, long changedAtMillis) {}

  /** Resources that are being freed on a worker for an urgent task. */
  record Reservation(String worker, Resources demand, long reservedAtMillis) {}
}
