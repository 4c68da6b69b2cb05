package org.lavenderstage.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The waiting requests of one workspace in one rank: returning callers first, then by deadline. */
final class WorkspaceQueue<T> {
  private final String workspace;
  private final PriorityQueue<Entry<T>> returning = newQueue();
  private final PriorityQueue<Entry<T>> fresh = newQueue();
  private int share = 1;
  private double startTag;

  WorkspaceQueue(String workspace) {
    this.workspace = workspace;
  }

  private static <T> PriorityQueue<Entry<T>> newQueue() {
    return new PriorityQueue<>(
        Comparator.<Entry<T>>comparingLong(entry -> entry.waiting.deadlineNanos())
            .thenComparingLong(Entry::order));
  }

  String workspace() {
    return workspace;
  }

  int share() {
    return share;
  }

  double startTag() {
    return startTag;
  }

  int size() {
    return returning.size() + fresh.size();
  }

  /** Adds a request; the first one after an idle time starts at the virtual time of its rank. */
  void add(QueuedRequest<T> waiting, long order, double virtualTime) {
    if (size() == 0) {
      startTag = Math.max(startTag, virtualTime);
    }
    share = Math.max(1, waiting.weight());
    (waiting.scheduledRetry() ? returning : fresh).add(new Entry<>(waiting, order));
  }

  /** Returns the first request; there must be one. */
  QueuedRequest<T> first() {
    return (returning.isEmpty() ? fresh : returning).element().waiting();
  }

  /** Takes the first request and charges the workspace for it. */
  QueuedRequest<T> take() {
    startTag += 1.0 / share;
    return (returning.isEmpty() ? fresh : returning).remove().waiting();
  }

  /** Takes out the requests whose deadline has passed; returns their count. */
  int removeExpired(long now, List<QueuedRequest<T>> expired) {
    int before = size();
    for (PriorityQueue<Entry<T>> queue : List.of(returning, fresh)) {
      while (!queue.isEmpty() && queue.element().waiting().deadlineNanos() - now <= 0) {
        expired.add(queue.remove().waiting());
      }
    }
    return before - size();
  }

  private record Entry<T>(QueuedRequest<T> waiting, long order) {}
}
