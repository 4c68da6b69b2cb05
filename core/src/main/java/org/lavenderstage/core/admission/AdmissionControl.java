package org.lavenderstage.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which requests of one service are admitted to its queue. The wait of a request is
 * predicted from the requests ahead of it in weighted fair order, the available slots and the
 * measured service times. A request that would miss its deadline is refused at once, with the time
 * at which its caller should retry.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionControl<T> {
  private static final long MIN_RETRY_NANOS = 200_000_000;

  /** A new request waits behind the scheduled retries of its workspace that are due this soon. */
  private static final long SCHEDULED_RETRY_WINDOW_NANOS = 200_000_000;

  private static final int RETRY_SCHEDULES_BEFORE_CLEANUP = 1024;

  /**
   * Fraction of the time to its deadline that a new request may spend waiting under continuous
   * overload.
   */
  private static final double MAX_WAIT_FRACTION = 0.1;

  /** The same fraction during a burst. */
  private static final double MAX_BURST_WAIT_FRACTION = 0.5;

  /** A queue that has not been empty for this long counts as overloaded, not as in a burst. */
  private static final long MAX_BURST_NANOS = 1_000_000_000;

  private final AdmissionQueue<T> queue;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final Map<String, RetrySchedule> retrySchedules = new HashMap<>();
  private boolean emptyAtKnown;
  private long lastEmptyAt;

  /**
   * Creates admission control with an empty queue.
   *
   * @param capacity maximum number of queued requests
   * @param workspaceCapacity maximum number of queued requests of one workspace in one rank
   */
  public AdmissionControl(int capacity, int workspaceCapacity) {
    queue = new AdmissionQueue<>(capacity, workspaceCapacity);
  }

  /**
   * Admits an arriving request to the queue, or refuses it.
   *
   * @param request the request
   * @param slots number of slots that serve the queue
   * @param freeSlots number of those slots that are free
   * @param now monotonic time in nanoseconds
   * @return whether the request was admitted
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

  /**
   * Returns the fraction of the time to its deadline that a new request may spend waiting. A queue
   * that was empty recently holds a burst, which is served soon; any other is overloaded.
   */
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
   * Puts an admitted request back into the queue for another attempt.
   *
   * @param request the request
   * @return whether the request was queued; false if the queue is full
   */
  public boolean requeue(QueuedRequest<T> request) {
    return queue.offer(request);
  }

  /**
   * Returns the request that is served next, without removing it.
   *
   * @return the request, or empty if the queue is empty
   */
  public Optional<QueuedRequest<T>> peek() {
    return queue.peek();
  }

  /**
   * Removes and returns the request that is served next.
   *
   * @return the request, or empty if the queue is empty
   */
  public Optional<QueuedRequest<T>> take() {
    return queue.take();
  }

  /**
   * Removes and returns the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the expired requests
   */
  public List<QueuedRequest<T>> removeExpired(long now) {
    return queue.removeExpired(now);
  }

  /**
   * Records for how long a request held its slot.
   *
   * @param nanos time in nanoseconds
   */
  public void recordServiceTime(long nanos) {
    serviceTimes.add(nanos);
  }

  /**
   * Returns the number of queued requests of higher ranks.
   *
   * @param rank the rank
   * @return number of requests whose rank number is lower
   */
  public int waitingAbove(int rank) {
    return queue.waitingAbove(rank);
  }

  /**
   * Returns the number of queued requests.
   *
   * @return number of requests
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
