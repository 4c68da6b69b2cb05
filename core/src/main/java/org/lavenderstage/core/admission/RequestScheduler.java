package org.lavenderstage.core.admission;

import java.util.List;
import java.util.Optional;
import org.lavenderstage.core.routing.RoutingPolicy;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotCount;
import org.lavenderstage.core.routing.SlotTicket;

/**
 * The decisions on the requests of one service at one entry: who may wait, who is next, which
 * executor serves it, and whether a failed attempt is repeated.
 *
 * @param <T> type of what waits
 */
public final class RequestScheduler<T> {
  private static final SlotCount UNLIMITED = new SlotCount(1 << 20, 0);

  private final RoutingPolicy policy;
  private final AdmissionControl<T> admission;
  private final RetryBudget retryBudget = new RetryBudget();

  /**
   * Makes a scheduler without requests.
   *
   * @param policy chooses executors
   * @param admission decides who may wait
   */
  public RequestScheduler(RoutingPolicy policy, AdmissionControl<T> admission) {
    this.policy = policy;
    this.admission = admission;
  }

  /**
   * Decides on an arriving request.
   *
   * @param request the request
   * @param now monotonic time in nanoseconds
   * @return whether it waits now
   */
  public AdmissionDecision submit(QueuedRequest<T> request, long now) {
    SlotCount slotCount = slotCount(now);
    AdmissionDecision decision = admission.offer(request, slotCount.total(), slotCount.free(), now);
    if (decision instanceof AdmissionDecision.Admitted) {
      retryBudget.recordFirstAttempt();
    }
    return decision;
  }

  /**
   * Counts the slots that this service may use here.
   *
   * @param now monotonic time in nanoseconds
   * @return the count
   */
  public SlotCount slotCount(long now) {
    return policy instanceof SharedSlotsPolicy shared ? shared.slotCount(now) : UNLIMITED;
  }

  /**
   * Places the request whose turn it is.
   *
   * @param now monotonic time in nanoseconds
   * @return the request with its slot, empty where none waits or no slot is free
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
   * Gives the slot of a request back that was not sent after all.
   *
   * @param placed the request with its slot
   * @param now monotonic time in nanoseconds
   */
  public void releaseUnsent(PlacedRequest<T> placed, long now) {
    policy.attemptEnded(placed.ticket(), RoutingPolicy.AttemptOutcome.ANSWERED, 0, now);
  }

  /**
   * Notes the end of an attempt.
   *
   * @param placed the request with its slot
   * @param outcome how it ended
   * @param mayRetry whether another attempt would be right
   * @param now monotonic time in nanoseconds
   * @return true where the request waits again
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
   * Takes out the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the requests
   */
  public List<QueuedRequest<T>> removeExpired(long now) {
    return admission.removeExpired(now);
  }

  /**
   * Counts the requests of higher ranks that wait.
   *
   * @param rank the rank
   * @return the count
   */
  public int waitingAbove(int rank) {
    return admission.waitingAbove(rank);
  }

  /**
   * Counts the requests that wait.
   *
   * @return the count
   */
  public int size() {
    return admission.size();
  }

  /**
   * Returns the policy.
   *
   * @return what chooses executors
   */
  public RoutingPolicy policy() {
    return policy;
  }
}
