package org.lavenderstage.core.admission;

import java.util.List;
import java.util.Optional;
import org.lavenderstage.core.routing.RoutingPolicy;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotCount;
import org.lavenderstage.core.routing.SlotTicket;

/**
 * Schedules the requests of one service at one entry: decides which are admitted, which is served
 * next and by which executor, and whether a failed attempt is retried.
 *
 * @param <T> type of the queued items
 */
public final class RequestScheduler<T> {
  /** Assumed for policies that do not limit requests by slots. */
  private static final SlotCount UNLIMITED = new SlotCount(1 << 20, 0);

  private final RoutingPolicy policy;
  private final AdmissionControl<T> admission;
  private final RetryBudget retryBudget = new RetryBudget();

  /**
   * Creates a scheduler without requests.
   *
   * @param policy policy that chooses the executors
   * @param admission admission control and queue of the requests
   */
  public RequestScheduler(RoutingPolicy policy, AdmissionControl<T> admission) {
    this.policy = policy;
    this.admission = admission;
  }

  /**
   * Admits an arriving request to the queue, or refuses it.
   *
   * @param request the request
   * @param now monotonic time in nanoseconds
   * @return whether the request was admitted
   */
  public AdmissionDecision submit(QueuedRequest<T> request, long now) {
    SlotCount slots = slotCount(now);
    AdmissionDecision decision = admission.offer(request, slots.total(), slots.free(), now);
    if (decision instanceof AdmissionDecision.Admitted) {
      retryBudget.recordFirstAttempt();
    }
    return decision;
  }

  /**
   * Returns the number of slots that this entry may use for the service.
   *
   * @param now monotonic time in nanoseconds
   * @return numbers of free and busy slots
   */
  public SlotCount slotCount(long now) {
    return policy instanceof SharedSlotsPolicy shared ? shared.countSlots(now) : UNLIMITED;
  }

  /**
   * Places the request that is served next on a slot.
   *
   * @param now monotonic time in nanoseconds
   * @return the request with its slot, or empty if none is queued or no slot is free
   */
  public Optional<PlacedRequest<T>> placeNext(long now) {
    Optional<QueuedRequest<T>> first = admission.peek();
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Optional<SlotTicket> ticket = policy.choose(first.get().deadlineNanos() - now, now);
    if (ticket.isEmpty()) {
      return Optional.empty();
    }
    QueuedRequest<T> taken = admission.take().orElseThrow();
    return Optional.of(new PlacedRequest<>(taken, ticket.get(), now));
  }

  /**
   * Releases the slot of a request that was placed but not sent.
   *
   * @param placed the request with its slot
   * @param now monotonic time in nanoseconds
   */
  public void releaseUnsent(PlacedRequest<T> placed, long now) {
    policy.attemptEnded(placed.ticket(), RoutingPolicy.AttemptOutcome.ANSWERED, 0, now);
  }

  /**
   * Records the end of an attempt and queues the request again if it is to be retried.
   *
   * @param placed the request with its slot
   * @param outcome how the attempt ended
   * @param mayRetry whether another attempt is allowed for this request
   * @param now monotonic time in nanoseconds
   * @return whether the request is queued again
   */
  public boolean attemptEnded(
      PlacedRequest<T> placed, RoutingPolicy.AttemptOutcome outcome, boolean mayRetry, long now) {
    long elapsedNanos = now - placed.sentNanos();
    policy.attemptEnded(placed.ticket(), outcome, elapsedNanos, now);
    if (outcome != RoutingPolicy.AttemptOutcome.NOT_STARTED) {
      admission.recordServiceTime(elapsedNanos);
    }
    return outcome != RoutingPolicy.AttemptOutcome.ANSWERED
        && mayRetry
        && placed.request().deadlineNanos() - now > 0
        && retryBudget.trySpend()
        && admission.requeue(placed.request());
  }

  /**
   * Removes and returns the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the expired requests
   */
  public List<QueuedRequest<T>> removeExpired(long now) {
    return admission.removeExpired(now);
  }

  /**
   * Returns the number of queued requests of higher ranks.
   *
   * @param rank the rank
   * @return number of requests whose rank number is lower
   */
  public int waitingAbove(int rank) {
    return admission.waitingAbove(rank);
  }

  /**
   * Returns the number of queued requests.
   *
   * @return number of requests
   */
  public int size() {
    return admission.size();
  }

  /**
   * Returns the routing policy.
   *
   * @return policy that chooses the executors
   */
  public RoutingPolicy policy() {
    return policy;
  }
}
