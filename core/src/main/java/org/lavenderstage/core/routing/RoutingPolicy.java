package org.lavenderstage.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the executor of each request of one service. */
public sealed interface RoutingPolicy
    permits SharedSlotsPolicy, RandomPolicy, RoundRobinPolicy, LeastOfTwoPolicy {
  /**
   * Replaces the executors.
   *
   * @param executors identifiers of the executors that may get new work
   */
  void setExecutors(List<String> executors);

  /**
   * Chooses an executor and takes a slot of it.
   *
   * @param neededNanos longest time for which the slot is needed in nanoseconds
   * @param now monotonic time in nanoseconds
   * @return the slot, empty where the request must wait
   */
  Optional<SlotTicket> choose(long neededNanos, long now);

  /**
   * Notes the end of a request.
   *
   * @param ticket its slot
   * @param outcome how it ended
   * @param elapsedNanos time since it was sent in nanoseconds
   * @param now monotonic time in nanoseconds
   */
  void attemptEnded(SlotTicket ticket, AttemptOutcome outcome, long elapsedNanos, long now);

  /** How a request at an executor ended. */
  enum AttemptOutcome {
    /** A whole answer came. */
    ANSWERED,
    /** The executor surely did not start it. */
    NOT_STARTED,
    /** It may run still. */
    LOST
  }
}
