package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.Map;

/** Counts the watchers of each workload by worker and by rack, to spread them over both. */
final class WatcherSpread {
  private static final double RACK_WEIGHT = 0.5;

  private final Map<Location, Integer> byWorker = new HashMap<>();
  private final Map<Location, Integer> byRack = new HashMap<>();

  void add(WorkerView workerView, TaskView task) {
    byWorker.merge(new Location(workerView.id, task.workload()), 1, Integer::sum);
    byRack.merge(new Location(workerView.rack, task.workload()), 1, Integer::sum);
  }

  /** Returns the weighted number of watchers of the same workload on the worker and in its rack. */
  double neighbourWeight(WorkerView workerView, TaskView task) {
    int onWorker = byWorker.getOrDefault(new Location(workerView.id, task.workload()), 0);
    int inRack = byRack.getOrDefault(new Location(workerView.rack, task.workload()), 0);
    return onWorker + RACK_WEIGHT * inRack;
  }

  /** A workload on a worker or in a rack, given by name. */
  private record Location(String name, WorkloadKey workload) {}
}
