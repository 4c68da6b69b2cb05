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

/** Throttles and evicts the tasks that disturb services. */
final class ServiceProtection {
  /** Part of its speed, and of its interference, that a throttled task keeps. */
  static final double THROTTLED_PART = 0.25;

  private static final double RESTORE_PART = 0.7;
  private static final long MIN_THROTTLE_MILLIS = 15_000;
  private static final long MOVE_AFTER_MILLIS = 15_000;

  private final PlannerMemory memory;
  private final InterferenceModel model;
  private final EvictionBudget budget;
  private final Map<String, Long> lastEvictions = new HashMap<>();

  ServiceProtection(PlannerMemory memory, InterferenceModel model, EvictionBudget budget) {
    this.memory = memory;
    this.model = model;
    this.budget = budget;
  }

  void evictOnly(CellView view, double riseLimit, long nowMillis, List<PlannedAction> actions) {
    for (WorkerSlot slot : view.slots) {
      UsageReport report = memory.lastReport(slot.id);
      if (report == null || slot.tasks.isEmpty()) {
        continue;
      }
      boolean isNews = report.fromMillis() > lastEvictions.getOrDefault(slot.id, Long.MIN_VALUE);
      if (isNews && measuredRise(report) > riseLimit) {
        slot.tasks.stream()
            .filter(task -> !task.evicting)
            .max(Comparator.comparingInt(task -> task.demand.cpuMillis()))
            .ifPresent(task -> evict(view, slot, task, actions));
        lastEvictions.put(slot.id, nowMillis);
      }
    }
  }

  private double measuredRise(UsageReport report) {
    double largest = 0;
    for (ServiceUsage service : report.services()) {
      largest = Math.max(largest, model.rise(service));
    }
    return largest;
  }

  void protect(CellView view, ProtectionPolicy.Graded limits, List<PlannedAction> actions) {
    for (WorkerSlot slot : view.slots) {
      if (slot.services.length == 0) {
        continue;
      }
      enforceRules(view, slot, actions);
      if (slot.rise() > limits.throttleLimit()) {
        relieve(view, slot, limits, actions);
      } else {
        restore(view, slot, limits, actions);
      }
      moveOne(view, slot, limits, actions);
    }
  }

  private void enforceRules(CellView view, WorkerSlot slot, List<PlannedAction> actions) {
    for (TaskView task : slot.tasks) {
      if (task.evicting) {
        continue;
      }
      if (view.pairs.has(slot, task, PairRow.Rule.APART) && budget.allows(task.workspace, 0)) {
        evict(view, slot, task, actions);
      } else if (!task.throttled && view.pairs.has(slot, task, PairRow.Rule.THROTTLE)) {
        throttle(view, slot, task, actions);
      }
    }
  }

  /** Throttles the most harmful tasks, and evicts where all that harm are throttled already. */
  private void relieve(
      CellView view, WorkerSlot slot, ProtectionPolicy.Graded limits, List<PlannedAction> actions) {
    List<TaskView> byHarm = new ArrayList<>(slot.tasks);
    byHarm.sort(
        Comparator.<TaskView>comparingDouble(task -> -view.pairs.harm(slot, task))
            .thenComparing(task -> task.id));
    for (TaskView task : byHarm) {
      boolean harms = view.pairs.harm(slot, task) > 0;
      if (slot.rise() > limits.placeLimit() && harms && !task.throttled && !task.evicting) {
        throttle(view, slot, task, actions);
      }
    }
    for (TaskView task : byHarm) {
      boolean helps = slot.rise() > limits.throttleLimit() && view.pairs.harm(slot, task) > 0;
      if (helps && !task.evicting && budget.allows(task.workspace, 0)) {
        evict(view, slot, task, actions);
      }
    }
  }

  /** Lets at most one task of a worker run at full speed again in each plan. */
  private void restore(
      CellView view, WorkerSlot slot, ProtectionPolicy.Graded limits, List<PlannedAction> actions) {
    for (TaskView task : slot.tasks) {
      if (task.throttled && !task.evicting && mayRestore(view, slot, limits, task)) {
        view.pairs.remove(slot, task);
        task.throttled = false;
        view.pairs.add(slot, task);
        memory.unthrottle(task);
        actions.add(new PlannedAction.Unthrottle(task.id));
        return;
      }
    }
  }

  private boolean mayRestore(
      CellView view, WorkerSlot slot, ProtectionPolicy.Graded limits, TaskView task) {
    double added = (1 - THROTTLED_PART) * view.pairs.harm(slot, task);
    return memory.throttledForMillis(task) >= MIN_THROTTLE_MILLIS
        && slot.rise() + added <= RESTORE_PART * limits.placeLimit()
        && !view.pairs.has(slot, task, PairRow.Rule.THROTTLE);
  }

  /** Evicts a task that stays throttled, so that it goes on elsewhere and its room is used. */
  private void moveOne(
      CellView view, WorkerSlot slot, ProtectionPolicy.Graded limits, List<PlannedAction> actions) {
    for (TaskView task : slot.tasks) {
      if (task.throttled && !task.evicting && mayMove(view, slot, limits, task)) {
        evict(view, slot, task, actions);
        return;
      }
    }
  }

  private boolean mayMove(
      CellView view, WorkerSlot slot, ProtectionPolicy.Graded limits, TaskView task) {
    return memory.throttledForMillis(task) >= MOVE_AFTER_MILLIS
        && view.pairs.harm(slot, task) > RESTORE_PART * limits.placeLimit()
        && budget.allows(task.workspace, 0);
  }

  private void throttle(
      CellView view, WorkerSlot slot, TaskView task, List<PlannedAction> actions) {
    view.pairs.remove(slot, task);
    task.throttled = true;
    view.pairs.add(slot, task);
    memory.throttle(task);
    actions.add(new PlannedAction.Throttle(task.id));
  }

  private void evict(CellView view, WorkerSlot slot, TaskView task, List<PlannedAction> actions) {
    view.pairs.remove(slot, task);
    task.evicting = true;
    memory.evict(task);
    budget.spend(task.workspace);
    actions.add(new PlannedAction.Evict(task.id));
  }
}
