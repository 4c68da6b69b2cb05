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
 * Orders waiting tasks by rank, where 0 is the most urgent, then by the weighted dominant share of
 * their workspace, lowest first, then by the time of acceptance.
 */
final class SchedulingQueue {
  private static final Comparator<TaskView> BY_ACCEPTANCE =
      Comparator.<TaskView>comparingLong(task -> task.job.acceptedAtMillis())
          .thenComparing(task -> task.id);

  private final TreeMap<Integer, PriorityQueue<WorkspaceQueue>> ranks = new TreeMap<>();
  private final FairShares shares;

  SchedulingQueue(List<TaskView> waiting, FairShares shares) {
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
            Comparator.<WorkspaceQueue>comparingDouble(queue -> queue.dominantShare)
                .thenComparing(queue -> queue.workspace));
    for (WorkspaceQueue queue : byWorkspace.values()) {
      queue.dominantShare = shares.weightedDominantShare(queue.workspace);
      heap.add(queue);
    }
    return heap;
  }

  /**
   * Removes and returns the next task, which the caller places or skips. The share of a workspace
   * changes with each placement; a workspace whose share is outdated is reinserted with its current
   * share first.
   */
  Optional<TaskView> next() {
    while (!ranks.isEmpty()) {
      PriorityQueue<WorkspaceQueue> heap = ranks.firstEntry().getValue();
      WorkspaceQueue queue = heap.poll();
      if (queue == null) {
        ranks.pollFirstEntry();
        continue;
      }
      double dominantShare = shares.weightedDominantShare(queue.workspace);
      TaskView task = null;
      if (dominantShare == queue.dominantShare) {
        task = queue.tasks.poll();
      }
      queue.dominantShare = dominantShare;
      if (!queue.tasks.isEmpty()) {
        heap.add(queue);
      }
      if (task != null) {
        return Optional.of(task);
      }
    }
    return Optional.empty();
  }

  /** The waiting tasks of one workspace and rank. */
  private static final class WorkspaceQueue {
    final String workspace;
    final Deque<TaskView> tasks = new ArrayDeque<>();
    double dominantShare;

    WorkspaceQueue(String workspace) {
      this.workspace = workspace;
    }
  }
}
