package org.lavenderstage.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the executors in turn, without regard to slots. */
public final class RoundRobinPolicy implements RoutingPolicy {
  private List<String> executors = List.of();
  private int next;

  /**
   * Creates a policy without executors.
   *
   * @param first index in the list of executors after which the policy starts
   */
  public RoundRobinPolicy(int first) {
    next = first;
  }

  @Override
  public void setExecutors(List<String> usable) {
    executors = List.copyOf(usable);
  }

  @Override
  public Optional<SlotTicket> choose(long neededNanos, long now) {
    if (executors.isEmpty()) {
      return Optional.empty();
    }
    next = (next + 1) % executors.size();
    String executor = executors.get(next);
    return Optional.of(new SlotTicket(executor, 0, "", 0));
  }

  @Override
  public void attemptEnded(SlotTicket ticket, AttemptOutcome outcome, long elapsedNanos, long now) {
    // No state to update.
  }
}
