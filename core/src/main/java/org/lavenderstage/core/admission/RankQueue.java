package org.lavenderstage.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The waiting requests of one rank, in weighted fair order between workspaces. */
final class RankQueue<T> {
  private static final int IDLE_WORKSPACES_KEPT = 1024;

  private final Map<String, WorkspaceQueue<T>> workspaces = new LinkedHashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  void add(QueuedRequest<T> waiting, long order) {
    if (workspaces.size() > IDLE_WORKSPACES_KEPT) {
      workspaces.values().removeIf(queue -> queue.size() == 0);
    }
    workspaces
        .computeIfAbsent(waiting.workspace(), WorkspaceQueue::new)
        .add(waiting, order, virtualTime);
    size++;
  }

  /** Finds the workspace whose turn it is; there must be a request. */
  WorkspaceQueue<T> turn() {
    WorkspaceQueue<T> best = null;
    for (WorkspaceQueue<T> queue : workspaces.values()) {
      if (queue.size() > 0 && (best == null || queue.startTag() < best.startTag())) {
        best = queue;
      }
    }
    if (best == null) {
      throw new IllegalStateException("no request waits");
    }
    return best;
  }

  QueuedRequest<T> take() {
    WorkspaceQueue<T> queue = turn();
    virtualTime = Math.max(virtualTime, queue.startTag());
    size--;
    return queue.take();
  }

  /** Counts the requests that are served before a new one of a workspace, by the fair order. */
  int ahead(String workspace, int share) {
    double fair = ownSize(workspace) / fraction(workspace, share);
    return (int) Math.min(size, Math.ceil(fair));
  }

  /** Returns the part of the capacity that a workspace gets while those that wait go on. */
  double fraction(String workspace, int share) {
    int own = Math.max(1, share);
    int all = own;
    for (WorkspaceQueue<T> queue : workspaces.values()) {
      if (queue.size() > 0 && !queue.workspace().equals(workspace)) {
        all += queue.share();
      }
    }
    return (double) own / all;
  }

  int ownSize(String workspace) {
    WorkspaceQueue<T> queue = workspaces.get(workspace);
    return queue == null ? 0 : queue.size();
  }

  /** Takes out the requests whose deadline has passed. */
  List<QueuedRequest<T>> removeExpired(long now) {
    List<QueuedRequest<T>> expired = new ArrayList<>();
    for (WorkspaceQueue<T> queue : workspaces.values()) {
      size -= queue.removeExpired(now, expired);
    }
    return expired;
  }
}
