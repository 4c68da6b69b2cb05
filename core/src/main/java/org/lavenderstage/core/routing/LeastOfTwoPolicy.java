package org.lavenderstage.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Chooses the one of two random executors on which this entry has fewer requests, no share. */
public final class LeastOfTwoPolicy implements RoutingPolicy {
  private final RandomSource random;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private List<String> executors = List.of();

  /**
   * Makes a policy without executors.
   *
   * @param random chooses
   */
  public LeastOfTwoPolicy(RandomSource random) {
    this.random = random;
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
    String a = executors.get(random.nextInt(executors.size()));
    String b = executors.get(random.nextInt(executors.size()));
    String executor = inFlight.getOrDefault(a, 0) <= inFlight.getOrDefault(b, 0) ? a : b;
    inFlight.merge(executor, 1, Integer::sum);
    return Optional.of(new SlotTicket(executor, 0, "", 0));
  }

  @Override
  public void attemptEnded(SlotTicket ticket, AttemptOutcome ending, long tookNanos, long now) {
    inFlight.merge(ticket.executor(), -1, Integer::sum);
  }
}
