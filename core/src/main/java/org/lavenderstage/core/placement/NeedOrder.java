package org.lavenderstage.core.placement;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * Orders waiting tasks by need: rank first, then the workspace that holds the least of the cell for
 * its share, then the time of acceptance.
 */
final class NeedOrder {
  private static final Comparator<TaskView> BY_ACCEPTANCE =
      Comparator.<TaskView>comparingLong(task -> task.job.acceptedAtMillis())
          .thenComparing(task -> task.id);

  private final TreeMap<Integer, PriorityQueue<WorkspaceQueue>> ranks = new TreeMap<>();
  private final FairShares shares;

  NeedOrder(List<TaskView> waiting, FairShares shares) {
    this.shares = shares;
    waiting.sort(BY_ACCEPTANCE);
    Map<Integer, Map<String, WorkspaceQueue>> queues = new HashMap<>();
    for (TaskView task : waiting) {
      queues
          .computeIfAbsent(task.rank, rank -> new TreeMap<>())
          .computeIfAbsent(task.workspace, WorkspaceQueue::new)
          .tasks
          .add(task);
    }
    queues.forEach((rank, byWorkspace) -> ranks.put(rank, heap(byWorkspace)));
  }

  private PriorityQueue<WorkspaceQueue> heap(Map<String, WorkspaceQueue> byWorkspace) {
    PriorityQueue<WorkspaceQueue> heap =
        new PriorityQueue<>(
            Comparator.<WorkspaceQueue>comparingDouble(queue -> queue.held)
                .thenComparing(queue -> queue.workspace));
    for (WorkspaceQueue queue : byWorkspace.values()) {
      queue.held = shares.heldPerShare(queue.workspace);
      heap.add(queue);
    }
    return heap;
  }

  /** Takes the next task out; the caller places it or passes it over. */
  Optional<TaskView> next() {
    while (!ranks.isEmpty()) {
      PriorityQueue<WorkspaceQueue> heap = ranks.firstEntry().getValue();
      WorkspaceQueue queue = heap.poll();
      if (queue == null) {
        ranks.pollFirstEntry();
        continue;
      }
      double held = shares.heldPerShare(queue.workspace);
      TaskView task = null;
      if (held == queue.held) {
        task = queue.tasks.poll();
      }
      queue.held = held;
      if (!queue.tasks.isEmpty()) {
        heap.add(queue);
      }
      if (task != null) {
        return Optional.of(task);
      }
    }
    return Optional.empty();
  }

  /** Waiting tasks of one workspace and rank. */
  private static final class WorkspaceQueue {
    final String workspace;
    final Deque<TaskView> tasks = new ArrayDeque<>();
    double held;

    WorkspaceQueue(String workspace) {
      this.workspace = workspace;
    }
  }
}
