package org.lavenderstage.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses a random executor, without regard to slots or requests in flight. */
public final class RandomPolicy implements RoutingPolicy {
  private List<String> executors = List.of();
  private final RandomSource random;

  /**
   * Creates a policy without executors.
   *
   * @param random source of the random choices
   */
  public RandomPolicy(RandomSource random) {
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
    String executor = executors.get(random.nextInt(executors.size()));
    return Optional.of(new SlotTicket(executor, 0, "", 0));
  }

  @Override
  public void attemptEnded(SlotTicket ticket, AttemptOutcome outcome, long elapsedNanos, long now) {
    // No state to update.
  }
}
