package org.lavenderstage.core.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses among the executors of which this entry may use a slot. Executors with an open circuit
 * breaker are left out, lower average latency is preferred, and executors of similar latency are
 * used in turn. An executor that is far slower than the median gets only an occasional probe.
 */
public final class SharedSlotsPolicy implements RoutingPolicy {
  /** An executor is slow if its latency exceeds the median by more than this factor. */
  private static final double SLOW_LOG_FACTOR = Math.log(2.5);

  /** Latencies that differ by less than this factor count as equal. */
  private static final double TIE_LOG_FACTOR = Math.log(1.5);

  /** At most this fraction of the executors counts as slow. */
  private static final double MAX_SLOW_FRACTION = 0.2;

  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000;
  private static final long LIMIT_UPDATE_INTERVAL_NANOS = 100_000_000;

  private final SlotShares shares;
  private final long lostBlockNanos;
  private final Map<String, ExecutorHealth> health = new HashMap<>();
  private Candidate[] candidates = {};
  private int firstCandidate;
  private boolean limitKnown;
  private long limitUpdatedAt;
  private double slowLogLatency = Double.MAX_VALUE;

  /**
   * Creates a policy without executors.
   *
   * @param shares the slots that this entry may use
   * @param lostBlockNanos time for which an executor may still be busy with a request whose answer
   *     was lost, in nanoseconds
   */
  public SharedSlotsPolicy(SlotShares shares, long lostBlockNanos) {
    this.shares = shares;
    this.lostBlockNanos = lostBlockNanos;
  }

  @Override
  public void setExecutors(List<String> usable) {
    health.keySet().retainAll(usable);
    candidates = new Candidate[usable.size()];
    for (int i = 0; i < candidates.length; i++) {
      String executor = usable.get(i);
      ExecutorHealth executorHealth = health.computeIfAbsent(executor, id -> new ExecutorHealth());
      candidates[i] = new Candidate(executor, executorHealth, shares.slots(executor, 0));
    }
  }

  @Override
  public Optional<SlotTicket> choose(long neededNanos, long now) {
    updateSlowLimit(now);
    int limit = shares.connectionLimit();
    Candidate best = null;
    for (int i = 0; i < candidates.length; i++) {
      Candidate candidate = candidates[(firstCandidate + i) % candidates.length];
      if (!candidate.hasFree(neededNanos, limit, now) || !candidate.health.allows(now)) {
        continue;
      }
      if (isSlow(candidate.health)) {
        if (candidate.health.isProbeDue(now, PROBE_INTERVAL_NANOS)) {
          return acquireSlot(candidate, neededNanos, now);
        }
      } else if (best == null
          || candidate.health.logLatency() < best.health.logLatency() - TIE_LOG_FACTOR) {
        best = candidate;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    firstCandidate = (firstCandidate + 1) % candidates.length;
    return acquireSlot(best, neededNanos, now);
  }

  private Optional<SlotTicket> acquireSlot(Candidate chosen, long neededNanos, long now) {
    Optional<SlotTicket> ticket = shares.acquire(chosen.executor, neededNanos, now);
    if (ticket.isPresent()) {
      chosen.health.recordSent(now);
    }
    return ticket;
  }

  private boolean isSlow(ExecutorHealth executorHealth) {
    return executorHealth.isMeasured() && executorHealth.logLatency() > slowLogLatency;
  }

  /**
   * Sets the latency above which an executor counts as slow, from the median. The limit is raised
   * if it would exclude too many executors.
   */
  private void updateSlowLimit(long now) {
    if (limitKnown && now - limitUpdatedAt < LIMIT_UPDATE_INTERVAL_NANOS) {
      return;
    }
    limitKnown = true;
    limitUpdatedAt = now;
    double[] logLatencies =
        health.values().stream()
            .filter(ExecutorHealth::isMeasured)
            .mapToDouble(ExecutorHealth::logLatency)
            .toArray();
    Arrays.sort(logLatencies);
    if (logLatencies.length == 0) {
      slowLogLatency = Double.MAX_VALUE;
      return;
    }
    int lastKept = (int) Math.ceil(logLatencies.length * (1 - MAX_SLOW_FRACTION)) - 1;
    slowLogLatency =
        Math.max(logLatencies[logLatencies.length / 2] + SLOW_LOG_FACTOR, logLatencies[lastKept]);
  }

  /**
   * Returns whether an executor is worth lending a slot of: its circuit breaker admits requests and
   * it is not slow.
   *
   * @param executor identifier of the executor
   * @param now monotonic time in nanoseconds
   * @return whether the executor is usable
   */
  public boolean isUsable(String executor, long now) {
    ExecutorHealth executorHealth = health.get(executor);
    return executorHealth != null && executorHealth.allows(now) && !isSlow(executorHealth);
  }

  @Override
  public void attemptEnded(SlotTicket ticket, AttemptOutcome outcome, long elapsedNanos, long now) {
    shares.release(ticket, outcome == AttemptOutcome.LOST ? lostBlockNanos : 0, now);
    ExecutorHealth executorHealth = health.get(ticket.executor());
    if (executorHealth == null) {
      return;
    }
    switch (outcome) {
      case ANSWERED -> executorHealth.recordAnswer(elapsedNanos);
      case NOT_STARTED -> executorHealth.recordFailure(now);
      case LOST -> executorHealth.recordLost(elapsedNanos, now);
    }
  }

  /**
   * Returns the number of slots that this entry may use now.
   *
   * @param now monotonic time in nanoseconds
   * @return numbers of free and busy slots
   */
  public SlotCount countSlots(long now) {
    int free = 0;
    int busy = 0;
    for (Candidate candidate : candidates) {
      busy += candidate.slots.busyCount();
      if (candidate.health.allows(now) && !isSlow(candidate.health)) {
        free += candidate.slots.freeCount(now) + candidate.slots.freeBorrowedCount();
      }
    }
    return new SlotCount(free, busy);
  }

  /** An executor with the state that the choice depends on. */
  private record Candidate(String executor, ExecutorHealth health, ExecutorSlots slots) {
    boolean hasFree(long neededNanos, int limit, long now) {
      return (slots.findFreeSlot(now) >= 0 || slots.hasFreeBorrowed(now, neededNanos))
          && slots.busyCount() < limit;
    }
  }
}
