package org.lavenderstage.core.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the executor for each request of one service. */
public sealed interface RoutingPolicy
    permits SharedSlotsPolicy, RandomPolicy, RoundRobinPolicy, LeastOfTwoPolicy {
  /**
   * Replaces the usable executors.
   *
   * @param executors identifiers of the executors that may get new requests
   */
  void setExecutors(List<String> executors);

  /**
   * Chooses an executor and acquires one of its slots.
   *
   * @param neededNanos longest time for which the slot is needed, in nanoseconds
   * @param now monotonic time in nanoseconds
   * @return the slot, or empty if the request must wait
   */
  Optional<SlotTicket> choose(long neededNanos, long now);

  /**
   * Releases the slot of an attempt that has ended and records its outcome.
   *
   * @param ticket slot of the attempt
   * @param outcome how the attempt ended
   * @param elapsedNanos time since the request was sent, in nanoseconds
   * @param now monotonic time in nanoseconds
   */
  void attemptEnded(SlotTicket ticket, AttemptOutcome outcome, long elapsedNanos, long now);

  /** How an attempt at an executor ended. */
  enum AttemptOutcome {
    /** A complete answer arrived. */
    ANSWERED,
    /** The executor is known not to have started the request. */
    NOT_STARTED,
    /** No complete answer arrived, and the request may still be running. */
    LOST
  }
}
