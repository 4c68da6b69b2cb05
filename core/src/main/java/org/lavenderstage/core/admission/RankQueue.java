package org.lavenderstage.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The queued requests of one rank, served by weighted fair queueing between workspaces. */
final class RankQueue<T> {
  private static final int WORKSPACES_BEFORE_CLEANUP = 1024;

  private final Map<String, WorkspaceQueue<T>> workspaces = new LinkedHashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  void add(QueuedRequest<T> request, long sequence) {
    if (workspaces.size() > WORKSPACES_BEFORE_CLEANUP) {
      workspaces.values().removeIf(queue -> queue.size() == 0);
    }
    workspaces
        .computeIfAbsent(request.workspace(), WorkspaceQueue::new)
        .add(request, sequence, virtualTime);
    size++;
  }

  /** Returns the queue of the workspace that is served next; there must be a queued request. */
  WorkspaceQueue<T> nextWorkspace() {
    WorkspaceQueue<T> best = null;
    for (WorkspaceQueue<T> queue : workspaces.values()) {
      if (queue.size() > 0 && (best == null || queue.startTag() < best.startTag())) {
        best = queue;
      }
    }
    if (best == null) {
      throw new IllegalStateException("no request is queued in this rank");
    }
    return best;
  }

  QueuedRequest<T> take() {
    WorkspaceQueue<T> queue = nextWorkspace();
    virtualTime = Math.max(virtualTime, queue.startTag());
    size--;
    return queue.take();
  }

  /** Returns the number of requests that are served before a new one of the given workspace. */
  int countAhead(String workspace, int weight) {
    double aheadByWeight = workspaceSize(workspace) / capacityFraction(workspace, weight);
    return (int) Math.min(size, Math.ceil(aheadByWeight));
  }

  /**
   * Returns the fraction of the capacity that a workspace gets beside the workspaces that have
   * queued requests.
   */
  double capacityFraction(String workspace, int weight) {
    int ownWeight = Math.max(1, weight);
    int totalWeight = ownWeight;
    for (WorkspaceQueue<T> queue : workspaces.values()) {
      if (queue.size() > 0 && !queue.workspace().equals(workspace)) {
        totalWeight += queue.weight();
      }
    }
    return (double) ownWeight / totalWeight;
  }

  int workspaceSize(String workspace) {
    WorkspaceQueue<T> queue = workspaces.get(workspace);
    return queue == null ? 0 : queue.size();
  }

  /** Removes and returns the requests whose deadline has passed. */
  List<QueuedRequest<T>> removeExpired(long now) {
    List<QueuedRequest<T>> expired = new ArrayList<>();
    for (WorkspaceQueue<T> queue : workspaces.values()) {
      size -= queue.removeExpired(now, expired);
    }
    return expired;
  }
}
