package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.interference.InterferenceModel;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.sheet.PairRow;

/** Throttles and evicts tasks that interfere with services on the same worker. */
final class ServiceProtection {
  /** The fraction of its speed, and of its interference, that a throttled task keeps. */
  static final double THROTTLED_FRACTION = 0.25;

  private static final double UNTHROTTLE_FRACTION = 0.7;
  private static final long MIN_THROTTLE_MILLIS = 15_000;
  private static final long EVICT_THROTTLED_AFTER_MILLIS = 15_000;

  private final PlannerState state;
  private final InterferenceModel model;
  private final EvictionBudget budget;
  private final Map<String, Long> lastEvictions = new HashMap<>();

  ServiceProtection(PlannerState state, InterferenceModel model, EvictionBudget budget) {
    this.state = state;
    this.model = model;
    this.budget = budget;
  }

  void evictFromSlowWorkers(
      CellView view, double increaseLimit, long nowMillis, List<PlannedAction> actions) {
    for (WorkerView workerView : view.workerViews) {
      UsageReport report = state.lastReport(workerView.id);
      if (report == null || workerView.tasks.isEmpty()) {
        continue;
      }
      boolean isMeasuredSinceEviction =
          report.fromMillis() > lastEvictions.getOrDefault(workerView.id, Long.MIN_VALUE);
      if (isMeasuredSinceEviction && measuredIncrease(report) > increaseLimit) {
        workerView.tasks.stream()
            .filter(task -> !task.evicting)
            .max(Comparator.comparingInt(task -> task.demand.cpuMillis()))
            .ifPresent(task -> evict(view, workerView, task, actions));
        lastEvictions.put(workerView.id, nowMillis);
      }
    }
  }

  private double measuredIncrease(UsageReport report) {
    double largest = 0;
    for (ServiceUsage service : report.services()) {
      largest = Math.max(largest, model.latencyIncrease(service));
    }
    return largest;
  }

  void protect(CellView view, ProtectionPolicy.Graded limits, List<PlannedAction> actions) {
    for (WorkerView workerView : view.workerViews) {
      if (workerView.services.length == 0) {
        continue;
      }
      enforceRules(view, workerView, actions);
      if (workerView.largestIncrease() > limits.throttleLimit()) {
        reduceInterference(view, workerView, limits, actions);
      } else {
        unthrottleOne(view, workerView, limits, actions);
      }
      evictOneThrottled(view, workerView, limits, actions);
    }
  }

  private void enforceRules(CellView view, WorkerView workerView, List<PlannedAction> actions) {
    for (TaskView task : workerView.tasks) {
      if (task.evicting) {
        continue;
      }
      if (view.pairs.hasRule(workerView, task, PairRow.Rule.APART)
          && budget.allows(task.workspace, 0)) {
        evict(view, workerView, task, actions);
      } else if (!task.throttled && view.pairs.hasRule(workerView, task, PairRow.Rule.THROTTLE)) {
        throttle(view, workerView, task, actions);
      }
    }
  }

  /**
   * Throttles the tasks that interfere most until the expected latency increase is within the
   * placement limit. If throttling all of them does not bring it within the throttle limit, evicts
   * tasks as well.
   */
  private void reduceInterference(
      CellView view,
      WorkerView workerView,
      ProtectionPolicy.Graded limits,
      List<PlannedAction> actions) {
    List<TaskView> byIncrease = new ArrayList<>(workerView.tasks);
    byIncrease.sort(
        Comparator.<TaskView>comparingDouble(task -> -view.pairs.expectedIncrease(workerView, task))
            .thenComparing(task -> task.id));
    for (TaskView task : byIncrease) {
      boolean interferes = view.pairs.expectedIncrease(workerView, task) > 0;
      if (workerView.largestIncrease() > limits.placeLimit()
          && interferes
          && !task.throttled
          && !task.evicting) {
        throttle(view, workerView, task, actions);
      }
    }
    for (TaskView task : byIncrease) {
      boolean helps =
          workerView.largestIncrease() > limits.throttleLimit()
              && view.pairs.expectedIncrease(workerView, task) > 0;
      if (helps && !task.evicting && budget.allows(task.workspace, 0)) {
        evict(view, workerView, task, actions);
      }
    }
  }

  /** Unthrottles at most one task of a worker in each plan. */
  private void unthrottleOne(
      CellView view,
      WorkerView workerView,
      ProtectionPolicy.Graded limits,
      List<PlannedAction> actions) {
    for (TaskView task : workerView.tasks) {
      if (task.throttled && !task.evicting && mayUnthrottle(view, workerView, limits, task)) {
        view.pairs.remove(workerView, task);
        task.throttled = false;
        view.pairs.add(workerView, task);
        state.unthrottle(task);
        actions.add(new PlannedAction.Unthrottle(task.id));
        return;
      }
    }
  }

  private boolean mayUnthrottle(
      CellView view, WorkerView workerView, ProtectionPolicy.Graded limits, TaskView task) {
    double added = (1 - THROTTLED_FRACTION) * view.pairs.expectedIncrease(workerView, task);
    return state.throttledForMillis(task) >= MIN_THROTTLE_MILLIS
        && workerView.largestIncrease() + added <= UNTHROTTLE_FRACTION * limits.placeLimit()
        && !view.pairs.hasRule(workerView, task, PairRow.Rule.THROTTLE);
  }

  /**
   * Evicts at most one task that has been throttled for long, so that it continues on another
   * worker and its resources are used by another task.
   */
  private void evictOneThrottled(
      CellView view,
      WorkerView workerView,
      ProtectionPolicy.Graded limits,
      List<PlannedAction> actions) {
    for (TaskView task : workerView.tasks) {
      if (task.throttled && !task.evicting && mayEvictThrottled(view, workerView, limits, task)) {
        evict(view, workerView, task, actions);
        return;
      }
    }
  }

  private boolean mayEvictThrottled(
      CellView view, WorkerView workerView, ProtectionPolicy.Graded limits, TaskView task) {
    return state.throttledForMillis(task) >= EVICT_THROTTLED_AFTER_MILLIS
        && view.pairs.expectedIncrease(workerView, task) > UNTHROTTLE_FRACTION * limits.placeLimit()
        && budget.allows(task.workspace, 0);
  }

  private void throttle(
      CellView view, WorkerView workerView, TaskView task, List<PlannedAction> actions) {
    view.pairs.remove(workerView, task);
    task.throttled = true;
    view.pairs.add(workerView, task);
    state.throttle(task);
    actions.add(new PlannedAction.Throttle(task.id));
  }

  private void evict(
      CellView view, WorkerView workerView, TaskView task, List<PlannedAction> actions) {
    view.pairs.remove(workerView, task);
    task.evicting = true;
    state.evict(task);
    budget.recordEviction(task.workspace);
    actions.add(new PlannedAction.Evict(task.id));
  }
}
