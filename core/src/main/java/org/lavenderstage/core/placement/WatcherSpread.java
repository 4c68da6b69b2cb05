package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.Map;

/** Counts watchers of one workload by worker and by rack, so that they are spread over both. */
final class WatcherSpread {
  private static final double RACK_WEIGHT = 0.5;

  private final Map<Place, Integer> byWorker = new HashMap<>();
  private final Map<Place, Integer> byRack = new HashMap<>();

  void add(WorkerSlot slot, TaskView task) {
    byWorker.merge(new Place(slot.id, task.workload()), 1, Integer::sum);
    byRack.merge(new Place(slot.rack, task.workload()), 1, Integer::sum);
  }

  /** Watchers of the same workload on the worker, and those in its rack at a lower weight. */
  double neighbours(WorkerSlot slot, TaskView task) {
    int here = byWorker.getOrDefault(new Place(slot.id, task.workload()), 0);
    int inRack = byRack.getOrDefault(new Place(slot.rack, task.workload()), 0);
    return here + RACK_WEIGHT * inRack;
  }

  /** A workload on a worker or in a rack. */
  private record Place(String name, WorkloadKey workload) {}
}
