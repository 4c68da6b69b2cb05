package org.lavenderstage.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which requests of one service may wait. The wait is predicted from the requests ahead by
 * the fair order, the slots at hand and the measured service times; a request that would miss its
 * deadline is refused at once and told when to come back.
 *
 * @param <T> type of what waits
 */
public final class AdmissionControl<T> {
  private static final long MIN_RETRY_NANOS = 200_000_000;
  private static final long BOOKED_WINDOW_NANOS = 200_000_000;
  private static final int BOOKS_KEPT = 1024;
  private static final double WAIT_PART = 0.1;
  private static final double BURST_WAIT_PART = 0.5;
  private static final long BURST_NANOS = 1_000_000_000;

  private final AdmissionQueue<T> queue;
  private final ServiceTimes times = new ServiceTimes();
  private final Map<String, ReturnBook> books = new HashMap<>();
  private boolean seenEmpty;
  private long emptyAt;

  /**
   * Makes an empty queue with its control.
   *
   * @param capacity most requests that may wait
   * @param workspaceCapacity most requests of one workspace and rank that may wait
   */
  public AdmissionControl(int capacity, int workspaceCapacity) {
    queue = new AdmissionQueue<>(capacity, workspaceCapacity);
  }

  /**
   * Decides on an arriving request.
   *
   * @param waiting the request
   * @param slots slots that serve the queue
   * @param freeSlots slots among them that are idle
   * @param now monotonic time in nanoseconds
   * @return whether it waits now
   */
  public AdmissionDecision offer(QueuedRequest<T> waiting, int slots, int freeSlots, long now) {
    double perRequest = times.meanNanos() / Math.max(1, slots);
    ReturnBook book = book(waiting.workspace(), now);
    int ahead = queue.ahead(waiting.rank(), waiting.workspace(), waiting.weight());
    if (waiting.scheduledRetry()) {
      book.returned();
    } else {
      ahead += book.dueUntil(now, now + BOOKED_WINDOW_NANOS);
    }
    double wait = Math.max(0, ahead + 1 - freeSlots) * perRequest;
    double spare = waiting.deadlineNanos() - now - times.meanNanos();
    double allowed = waiting.scheduledRetry() ? spare : spare * waitPart(now);
    if (wait > allowed) {
      return refused(AdmissionDecision.Reason.DEADLINE_HOPELESS, waiting, wait, perRequest, now);
    }
    if (!queue.offer(waiting)) {
      return refused(AdmissionDecision.Reason.QUEUE_FULL, waiting, wait, perRequest, now);
    }
    return new AdmissionDecision.Admitted();
  }

  /** A queue that was empty a short time ago holds a burst; one that was not is overloaded. */
  private double waitPart(long now) {
    if (queue.size() == 0 || !seenEmpty) {
      seenEmpty = true;
      emptyAt = now;
    }
    return now - emptyAt < BURST_NANOS ? BURST_WAIT_PART : WAIT_PART;
  }

  private AdmissionDecision refused(
      AdmissionDecision.Reason reason,
      QueuedRequest<T> waiting,
      double waitNanos,
      double perRequest,
      long now) {
    long earliest = Math.max(MIN_RETRY_NANOS, Math.round(waitNanos));
    double part = queue.fraction(waiting.rank(), waiting.workspace(), waiting.weight());
    long at = book(waiting.workspace(), now).book(now, earliest, part / perRequest);
    return new AdmissionDecision.Refused(reason, at);
  }

  private ReturnBook book(String workspace, long now) {
    if (books.size() > BOOKS_KEPT) {
      books.values().removeIf(book -> book.isIdle(now));
    }
    return books.computeIfAbsent(workspace, name -> new ReturnBook());
  }

  /**
   * Puts a request back that surely did not start; it was admitted before.
   *
   * @param waiting the request
   * @return false where too much waits
   */
  public boolean putBack(QueuedRequest<T> waiting) {
    return queue.offer(waiting);
  }

  /**
   * Returns the request whose turn it is without taking it.
   *
   * @return the request, empty where none waits
   */
  public Optional<QueuedRequest<T>> peek() {
    return queue.peek();
  }

  /**
   * Takes the request whose turn it is.
   *
   * @return the request, empty where none waits
   */
  public Optional<QueuedRequest<T>> take() {
    return queue.take();
  }

  /**
   * Takes out the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the requests
   */
  public List<QueuedRequest<T>> removeExpired(long now) {
    return queue.removeExpired(now);
  }

  /**
   * Notes how long a request held its slot.
   *
   * @param nanos the time in nanoseconds
   */
  public void served(long nanos) {
    times.add(nanos);
  }

  /**
   * Counts the requests of higher ranks that wait.
   *
   * @param rank the rank
   * @return the count
   */
  public int waitingAbove(int rank) {
    return queue.waitingAbove(rank);
  }

  /**
   * Counts the requests that wait.
   *
   * @return the count
   */
  public int size() {
    return queue.size();
  }

  /**
   * Returns the measured mean service time.
   *
   * @return the mean in nanoseconds
   */
  public double meanServiceNanos() {
    return times.meanNanos();
  }
}
