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
  private static final long SCHEDULED_RETRY_WINDOW_NANOS = 200_000_000;
  private static final int RETRY_SCHEDULES_BEFORE_CLEANUP = 1024;
  private static final double MAX_WAIT_FRACTION = 0.1;
  private static final double MAX_BURST_WAIT_FRACTION = 0.5;
  private static final long MAX_BURST_NANOS = 1_000_000_000;

  private final AdmissionQueue<T> queue;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final Map<String, RetrySchedule> retrySchedules = new HashMap<>();
  private boolean emptyAtKnown;
  private long lastEmptyAt;

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
   * @param request the request
   * @param slots slots that serve the queue
   * @param freeSlots slots among them that are idle
   * @param now monotonic time in nanoseconds
   * @return whether it waits now
   */
  public AdmissionDecision offer(QueuedRequest<T> request, int slots, int freeSlots, long now) {
    double nanosPerRequest = serviceTimes.meanNanos() / Math.max(1, slots);
    RetrySchedule schedule = retrySchedule(request.workspace(), now);
    int ahead = queue.countAhead(request.rank(), request.workspace(), request.weight());
    if (request.scheduledRetry()) {
      schedule.retryArrived();
    } else {
      ahead += schedule.dueUntil(now, now + SCHEDULED_RETRY_WINDOW_NANOS);
    }
    double predictedWait = Math.max(0, ahead + 1 - freeSlots) * nanosPerRequest;
    double slack = request.deadlineNanos() - now - serviceTimes.meanNanos();
    double maxWait = request.scheduledRetry() ? slack : slack * maxWaitFraction(now);
    if (predictedWait > maxWait) {
      return refuse(
          AdmissionDecision.Reason.DEADLINE_HOPELESS, request, predictedWait, nanosPerRequest, now);
    }
    if (!queue.offer(request)) {
      return refuse(
          AdmissionDecision.Reason.QUEUE_FULL, request, predictedWait, nanosPerRequest, now);
    }
    return new AdmissionDecision.Admitted();
  }

  /** A queue that was empty a short time ago holds a burst; one that was not is overloaded. */
  private double maxWaitFraction(long now) {
    if (queue.size() == 0 || !emptyAtKnown) {
      emptyAtKnown = true;
      lastEmptyAt = now;
    }
    return now - lastEmptyAt < MAX_BURST_NANOS ? MAX_BURST_WAIT_FRACTION : MAX_WAIT_FRACTION;
  }

  private AdmissionDecision refuse(
      AdmissionDecision.Reason reason,
      QueuedRequest<T> request,
      double waitNanos,
      double nanosPerRequest,
      long now) {
    long earliestRetryNanos = Math.max(MIN_RETRY_NANOS, Math.round(waitNanos));
    double fraction = queue.capacityFraction(request.rank(), request.workspace(), request.weight());
    long retryAfterNanos =
        retrySchedule(request.workspace(), now)
            .schedule(now, earliestRetryNanos, fraction / nanosPerRequest);
    return new AdmissionDecision.Refused(reason, retryAfterNanos);
  }

  private RetrySchedule retrySchedule(String workspace, long now) {
    if (retrySchedules.size() > RETRY_SCHEDULES_BEFORE_CLEANUP) {
      retrySchedules.values().removeIf(schedule -> schedule.isIdle(now));
    }
    return retrySchedules.computeIfAbsent(workspace, name -> new RetrySchedule());
  }

  /**
   * Puts a request back that surely did not start; it was admitted before.
   *
   * @param request the request
   * @return false where too much waits
   */
  public boolean requeue(QueuedRequest<T> request) {
    return queue.offer(request);
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
  public void recordServiceTime(long nanos) {
    serviceTimes.add(nanos);
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
    return serviceTimes.meanNanos();
  }
}
