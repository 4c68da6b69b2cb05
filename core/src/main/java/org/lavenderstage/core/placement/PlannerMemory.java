package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.TaskUsage;
import org.lavenderstage.core.interference.UsageReport;

/** What a planner remembers between plans of its own commands and of the workers' reports. */
final class PlannerMemory {
  private static final long COMMAND_TIMEOUT_MILLIS = 10_000;

  private final WorkerHealth health;
  private final Map<String, UsageReport> lastReports = new HashMap<>();
  private final Map<String, Throttling> throttlings = new HashMap<>();
  private final Map<String, Command> evicting = new HashMap<>();
  private final Map<String, Reservation> reservations = new HashMap<>();
  private long nowMillis;

  PlannerMemory(WorkerHealth health) {
    this.health = health;
  }

  WorkerHealth health() {
    return health;
  }

  void begin(long planMillis) {
    nowMillis = planMillis;
    evicting.values().removeIf(command -> isTimedOut(command.atMillis()));
    reservations.values().removeIf(reservation -> isTimedOut(reservation.atMillis()));
  }

  private boolean isTimedOut(long atMillis) {
    return nowMillis - atMillis > COMMAND_TIMEOUT_MILLIS;
  }

  /**
   * Keeps the newest report of a worker. Where a report was measured long after the last command,
   * or no command is known, it tells whether a task is throttled: a command can be lost, and a
   * former owner may have given it.
   */
  void report(UsageReport report) {
    UsageReport known = lastReports.get(report.worker());
    if (known == null || known.toMillis() <= report.toMillis()) {
      lastReports.put(report.worker(), report);
    }
    for (TaskUsage task : report.tasks()) {
      Throttling last = throttlings.get(task.job());
      boolean isKnown = last != null && last.attempt() >= task.attempt();
      boolean isNews =
          isKnown
              ? last.atMillis() + COMMAND_TIMEOUT_MILLIS < report.fromMillis()
              : task.throttled();
      if (isNews) {
        long sinceMillis =
            isKnown && last.on() == task.throttled() ? last.atMillis() : report.toMillis();
        throttlings.put(task.job(), new Throttling(task.attempt(), task.throttled(), sinceMillis));
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
    Throttling last = throttlings.get(task.id);
    return last != null && last.on() && last.attempt() == task.job.attempt();
  }

  long throttledForMillis(TaskView task) {
    return isThrottled(task) ? nowMillis - throttlings.get(task.id).atMillis() : 0;
  }

  void throttle(TaskView task) {
    throttlings.put(task.id, new Throttling(task.job.attempt(), true, nowMillis));
  }

  void unthrottle(TaskView task) {
    throttlings.put(task.id, new Throttling(task.job.attempt(), false, nowMillis));
  }

  boolean isEvicting(TaskView task) {
    Command command = evicting.get(task.id);
    return command != null && command.attempt() == task.job.attempt();
  }

  void evict(TaskView task) {
    evicting.put(task.id, new Command(task.job.attempt(), nowMillis));
  }

  void forget(String job) {
    throttlings.remove(job);
    evicting.remove(job);
  }

  /** Forgets what was noted of jobs that have ended for good. */
  void retainJobs(Predicate<String> isLive) {
    throttlings.keySet().removeIf(isLive.negate());
    health.retainJobs(isLive);
  }

  /** Drops the room kept for jobs that wait no longer, or on workers that are gone. */
  void retainReservations(CellView view) {
    if (reservations.isEmpty()) {
      return;
    }
    reservations.keySet().retainAll(view.waiting.stream().map(task -> task.id).toList());
    reservations.values().removeIf(kept -> !view.slotByWorker.containsKey(kept.worker()));
  }

  Map<String, Reservation> reservations() {
    return reservations;
  }

  void reserve(TaskView task, String worker) {
    reservations.put(task.id, new Reservation(worker, task.demand, nowMillis));
  }

  /** A command to one attempt. */
  private record Command(int attempt, long atMillis) {}

  /** Whether an attempt is throttled, and since when. */
  private record Throttling(int attempt, boolean on, long atMillis) {}

  /** Room that is being freed for an urgent task. */
  record Reservation(String worker, Resources demand, long atMillis) {}
}
