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
  private final RetryBudget budget = new RetryBudget();

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
   * @param waiting the request
   * @param now monotonic time in nanoseconds
   * @return whether it waits now
   */
  public AdmissionDecision submit(Waiting<T> waiting, long now) {
    SlotCount count = slots(now);
    AdmissionDecision decision = admission.offer(waiting, count.all(), count.free(), now);
    if (decision instanceof AdmissionDecision.Admitted) {
      budget.firstAttempt();
    }
    return decision;
  }

  /**
   * Counts the slots that this service may use here.
   *
   * @param now monotonic time in nanoseconds
   * @return the count
   */
  public SlotCount slots(long now) {
    return policy instanceof SharedSlotsPolicy shared ? shared.count(now) : UNLIMITED;
  }

  /**
   * Places the request whose turn it is.
   *
   * @param now monotonic time in nanoseconds
   * @return the request with its slot, empty where none waits or no slot is free
   */
  public Optional<Placed<T>> next(long now) {
    Optional<Waiting<T>> first = admission.peek();
    if (first.isEmpty()) {
      return Optional.empty();
    }
    Optional<SlotTicket> ticket = policy.choose(first.get().deadlineNanos() - now, now);
    if (ticket.isEmpty()) {
      return Optional.empty();
    }
    Waiting<T> taken = admission.take().orElseThrow();
    return Optional.of(new Placed<>(taken, ticket.get(), now));
  }

  /**
   * Gives the slot of a request back that was not sent after all.
   *
   * @param placed the request with its slot
   * @param now monotonic time in nanoseconds
   */
  public void notSent(Placed<T> placed, long now) {
    policy.ended(placed.ticket(), RoutingPolicy.Ending.ANSWERED, 0, now);
  }

  /**
   * Notes the end of an attempt.
   *
   * @param placed the request with its slot
   * @param ending how it ended
   * @param mayRepeat whether another attempt would be right
   * @param now monotonic time in nanoseconds
   * @return true where the request waits again
   */
  public boolean ended(Placed<T> placed, RoutingPolicy.Ending ending, boolean mayRepeat, long now) {
    long took = now - placed.sentNanos();
    policy.ended(placed.ticket(), ending, took, now);
    if (ending != RoutingPolicy.Ending.NOT_STARTED) {
      admission.served(took);
    }
    return ending != RoutingPolicy.Ending.ANSWERED
        && mayRepeat
        && placed.waiting().deadlineNanos() - now > 0
        && budget.spend()
        && admission.putBack(placed.waiting());
  }

  /**
   * Takes out the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the requests
   */
  public List<Waiting<T>> removeExpired(long now) {
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
