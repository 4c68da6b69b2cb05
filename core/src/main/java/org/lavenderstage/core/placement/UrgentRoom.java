package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Frees room for urgent tasks on full workers by evicting tasks of lower rank. */
final class UrgentRoom {
  private static final int SAMPLE = 32;
  private static final Comparator<TaskView> LEAST_NEEDED_FIRST =
      Comparator.<TaskView>comparingInt(task -> -task.rank)
          .thenComparingInt(task -> -task.demand.cpuMillis())
          .thenComparing(task -> task.id);

  private final CellView view;
  private final PlannerMemory memory;
  private final EvictionBudget budget;
  private final BinChoice bins;

  UrgentRoom(CellView view, PlannerMemory memory, EvictionBudget budget, BinChoice bins) {
    this.view = view;
    this.memory = memory;
    this.budget = budget;
    this.bins = bins;
  }

  /** Evicts the fewest tasks that make room for an urgent one, and keeps the room for it. */
  void free(TaskView urgent, List<PlannedAction> actions) {
    if (memory.reservations().containsKey(urgent.id)) {
      return;
    }
    WorkerSlot best = null;
    List<TaskView> fewest = List.of();
    int size = view.slots.length;
    int start = Math.floorMod(urgent.id.hashCode(), Math.max(1, size));
    for (int i = 0; i < Math.min(SAMPLE, size); i++) {
      WorkerSlot slot = view.slots[(start + i) % size];
      List<TaskView> victims = bins.isAllowed(slot, urgent) ? victims(slot, urgent) : List.of();
      if (!victims.isEmpty() && (best == null || isBetter(victims, fewest))) {
        best = slot;
        fewest = victims;
      }
    }
    if (best != null) {
      evict(best, fewest, urgent, actions);
    }
  }

  private boolean isBetter(List<TaskView> victims, List<TaskView> fewest) {
    if (victims.size() != fewest.size()) {
      return victims.size() < fewest.size();
    }
    return evictions(victims) < evictions(fewest);
  }

  private long evictions(List<TaskView> victims) {
    long sum = 0;
    for (TaskView victim : victims) {
      sum += budget.count(victim.workspace);
    }
    return sum;
  }

  /** Tasks of lower rank whose end makes enough room, empty where there are not enough. */
  private List<TaskView> victims(WorkerSlot slot, TaskView urgent) {
    List<TaskView> candidates = new ArrayList<>(slot.tasks);
    candidates.sort(LEAST_NEEDED_FIRST);
    List<TaskView> victims = new ArrayList<>();
    Map<String, Integer> planned = new HashMap<>();
    Resources free = new Resources(slot.freeCpuMillis, slot.freeMemoryMb, slot.freeAccelerators);
    for (TaskView task : candidates) {
      int taken = planned.getOrDefault(task.workspace, 0);
      if (task.rank > urgent.rank && !task.evicting && budget.allows(task.workspace, taken)) {
        planned.put(task.workspace, taken + 1);
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
      WorkerSlot slot, List<TaskView> victims, TaskView urgent, List<PlannedAction> actions) {
    for (TaskView victim : victims) {
      victim.evicting = true;
      view.pairs.remove(slot, victim);
      memory.evict(victim);
      budget.spend(victim.workspace);
      actions.add(new PlannedAction.Evict(victim.id));
    }
    memory.reserve(urgent, slot.id);
    slot.take(urgent.demand);
  }
}
