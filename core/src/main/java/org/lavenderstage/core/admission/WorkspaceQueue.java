package org.lavenderstage.core.admission;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The queued requests of one workspace in one rank: scheduled retries first, then by deadline. */
final class WorkspaceQueue<T> {
  private final String workspace;
  private final PriorityQueue<Entry<T>> scheduledRetries = newQueue();
  private final PriorityQueue<Entry<T>> newRequests = newQueue();
  private int weight = 1;
  private double startTag;

  WorkspaceQueue(String workspace) {
    this.workspace = workspace;
  }

  private static <T> PriorityQueue<Entry<T>> newQueue() {
    return new PriorityQueue<>(
        Comparator.<Entry<T>>comparingLong(entry -> entry.request.deadlineNanos())
            .thenComparingLong(Entry::sequence));
  }

  String workspace() {
    return workspace;
  }

  int weight() {
    return weight;
  }

  double startTag() {
    return startTag;
  }

  int size() {
    return scheduledRetries.size() + newRequests.size();
  }

  /**
   * Adds a request. A workspace that had no queued requests starts at the virtual time of its rank,
   * so that it gets no credit for the time when it was idle.
   */
  void add(QueuedRequest<T> request, long sequence, double virtualTime) {
    if (size() == 0) {
      startTag = Math.max(startTag, virtualTime);
    }
    weight = Math.max(1, request.weight());
    (request.scheduledRetry() ? scheduledRetries : newRequests).add(new Entry<>(request, sequence));
  }

  /** Returns the request that is served next; there must be one. */
  QueuedRequest<T> first() {
    return (scheduledRetries.isEmpty() ? newRequests : scheduledRetries).element().request();
  }

  /** Removes the request that is served next and advances the start tag of the workspace. */
  QueuedRequest<T> take() {
    startTag += 1.0 / weight;
    return (scheduledRetries.isEmpty() ? newRequests : scheduledRetries).remove().request();
  }

  /** Moves the requests whose deadline has passed to the given list and returns their number. */
  int removeExpired(long now, List<QueuedRequest<T>> expired) {
    int before = size();
    for (PriorityQueue<Entry<T>> queue : List.of(scheduledRetries, newRequests)) {
      while (!queue.isEmpty() && queue.element().request().deadlineNanos() - now <= 0) {
        expired.add(queue.remove().request());
      }
    }
    return before - size();
  }

  private record Entry<T>(QueuedRequest<T> request, long sequence) {}
}
