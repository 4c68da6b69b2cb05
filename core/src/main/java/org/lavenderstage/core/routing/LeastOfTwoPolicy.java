package org.lavenderstage.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses of two random executors the one on which this entry has fewer requests in flight, without
 * regard to slots.
 */
public final class LeastOfTwoPolicy implements RoutingPolicy {
  private final RandomSource random;
  private final Map<String, Integer> inFlight = new HashMap<>();
  private List<String> executors = List.of();

  /**
   * Creates a policy without executors.
   *
   * @param random source of the random choices
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
    String first = executors.get(random.nextInt(executors.size()));
    String second = executors.get(random.nextInt(executors.size()));
    String executor =
        inFlight.getOrDefault(first, 0) <= inFlight.getOrDefault(second, 0) ? first : second;
    inFlight.merge(executor, 1, Integer::sum);
    return Optional.of(new SlotTicket(executor, 0, "", 0));
  }

  @Override
  public void attemptEnded(SlotTicket ticket, AttemptOutcome outcome, long elapsedNanos, long now) {
    inFlight.merge(ticket.executor(), -1, Integer::sum);
  }
}
