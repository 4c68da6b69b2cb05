package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Frees resources for urgent tasks on full workers by evicting less urgent tasks. */
final class UrgentPreemption {
  private static final int SAMPLE_SIZE = 32;
  private static final Comparator<TaskView> LOWEST_PRIORITY_FIRST =
      Comparator.<TaskView>comparingInt(task -> -task.rank)
          .thenComparingInt(task -> -task.demand.cpuMillis())
          .thenComparing(task -> task.id);

  private final CellView view;
  private final PlannerState state;
  private final EvictionBudget budget;
  private final SampledWorkerSelector selector;

  UrgentPreemption(
      CellView view, PlannerState state, EvictionBudget budget, SampledWorkerSelector selector) {
    this.view = view;
    this.state = state;
    this.budget = budget;
    this.selector = selector;
  }

  /**
   * Evicts the smallest set of victims found that frees enough resources for an urgent task, and
   * reserves the resources for it. Does nothing if the task has a reservation already.
   */
  void preempt(TaskView urgent, List<PlannedAction> actions) {
    if (state.reservations().containsKey(urgent.id)) {
      return;
    }
    WorkerView best = null;
    List<TaskView> bestVictims = List.of();
    int size = view.workerViews.length;
    int start = Math.floorMod(urgent.id.hashCode(), Math.max(1, size));
    for (int i = 0; i < Math.min(SAMPLE_SIZE, size); i++) {
      WorkerView workerView = view.workerViews[(start + i) % size];
      List<TaskView> victims =
          selector.isAllowed(workerView, urgent) ? victims(workerView, urgent) : List.of();
      if (!victims.isEmpty() && (best == null || isBetter(victims, bestVictims))) {
        best = workerView;
        bestVictims = victims;
      }
    }
    if (best != null) {
      evict(best, bestVictims, urgent, actions);
    }
  }

  private boolean isBetter(List<TaskView> victims, List<TaskView> bestVictims) {
    if (victims.size() != bestVictims.size()) {
      return victims.size() < bestVictims.size();
    }
    return pastEvictions(victims) < pastEvictions(bestVictims);
  }

  private long pastEvictions(List<TaskView> victims) {
    long sum = 0;
    for (TaskView victim : victims) {
      sum += budget.count(victim.workspace);
    }
    return sum;
  }

  /**
   * Returns less urgent tasks of a worker whose eviction frees enough resources, or an empty list
   * if there are not enough such tasks.
   */
  private List<TaskView> victims(WorkerView workerView, TaskView urgent) {
    List<TaskView> candidates = new ArrayList<>(workerView.tasks);
    candidates.sort(LOWEST_PRIORITY_FIRST);
    List<TaskView> victims = new ArrayList<>();
    Map<String, Integer> planned = new HashMap<>();
    Resources free =
        new Resources(
            workerView.freeCpuMillis, workerView.freeMemoryMb, workerView.freeAccelerators);
    for (TaskView task : candidates) {
      int plannedInWorkspace = planned.getOrDefault(task.workspace, 0);
      if (task.rank > urgent.rank
          && !task.evicting
          && budget.allows(task.workspace, plannedInWorkspace)) {
        planned.put(task.workspace, plannedInWorkspace + 1);
        victims.add(task);
        free = free.plus(task.demand);
      }
      if (urgent.demand.fitsIn(free)) {
        return victims;
      }
    }
    return List.of();
  }

  private void evict(
      WorkerView workerView, List<TaskView> victims, TaskView urgent, List<PlannedAction> actions) {
    for (TaskView victim : victims) {
      victim.evicting = true;
      view.pairs.remove(workerView, victim);
      state.evict(victim);
      budget.recordEviction(victim.workspace);
      actions.add(new PlannedAction.Evict(victim.id));
    }
    state.reserve(urgent, workerView.id);
    workerView.allocate(urgent.demand);
  }
}
