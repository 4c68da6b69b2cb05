package org.lavenderstage.core.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The requests of one service that wait for a slot, in order of rank and then of deadline.
 *
 * @param <T> type of what waits
 */
public final class WaitQueue<T> {
  private final PriorityQueue<Waiting<T>> queue =
      new PriorityQueue<>(
          Comparator.<Waiting<T>>comparingInt(Waiting::rank)
              .thenComparingLong(Waiting::deadlineNanos));
  private final int capacity;

  /**
   * Makes an empty queue.
   *
   * @param capacity most requests that may wait
   */
  public WaitQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Lets a request wait.
   *
   * @param item what waits
   * @param rank rank; a lower number is served first
   * @param deadlineNanos deadline on the monotonic clock
   * @return false where the queue is full
   */
  public boolean offer(T item, int rank, long deadlineNanos) {
    if (queue.size() >= capacity) {
      return false;
    }
    return queue.offer(new Waiting<>(item, rank, deadlineNanos));
  }

  /**
   * Returns the next request without taking it.
   *
   * @return the request, empty where none waits
   */
  public Optional<T> peek() {
    return Optional.ofNullable(queue.peek()).map(Waiting::item);
  }

  /** Takes the next request. */
  public void remove() {
    queue.remove();
  }

  /**
   * Counts the requests that wait.
   *
   * @return the count
   */
  public int size() {
    return queue.size();
  }

  /** One request with what orders it. */
  private record Waiting<T>(T item, int rank, long deadlineNanos) {}
}
