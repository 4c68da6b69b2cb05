package org.lavenderstage.core.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses among the executors of which this entry may use a slot: no open breaker, lowest typical
 * latency first, ties in turn. An executor far slower than the median gets a probe now and then.
 */
public final class SharedSlotsPolicy implements RoutingPolicy {
  private static final double SLOW_LOG_FACTOR = Math.log(2.5);
  private static final double BAND_LOG_FACTOR = Math.log(1.5);
  private static final double MAX_SLOW_PART = 0.2;
  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000;
  private static final long REVIEW_NANOS = 100_000_000;

  private final SlotShares shares;
  private final long lostRestNanos;
  private final Map<String, ExecutorHealth> health = new HashMap<>();
  private Candidate[] candidates = {};
  private int turn;
  private boolean reviewed;
  private long reviewedAt;
  private double slowLog = Double.MAX_VALUE;

  /**
   * Makes a policy without executors.
   *
   * @param shares this entry's share of the slots
   * @param lostRestNanos time for which an executor may be busy with a request whose answer was
   *     lost, in nanoseconds
   */
  public SharedSlotsPolicy(SlotShares shares, long lostRestNanos) {
    this.shares = shares;
    this.lostRestNanos = lostRestNanos;
  }

  @Override
  public void setExecutors(List<String> usable) {
    health.keySet().retainAll(usable);
    candidates = new Candidate[usable.size()];
    for (int i = 0; i < candidates.length; i++) {
      String executor = usable.get(i);
      ExecutorHealth one = health.computeIfAbsent(executor, id -> new ExecutorHealth());
      candidates[i] = new Candidate(executor, one, shares.slots(executor, 0));
    }
  }

  @Override
  public Optional<SlotTicket> choose(long neededNanos, long now) {
    review(now);
    int limit = shares.connectionLimit();
    Candidate best = null;
    for (int i = 0; i < candidates.length; i++) {
      Candidate one = candidates[(turn + i) % candidates.length];
      if (!one.hasFree(neededNanos, limit, now) || !one.health.allows(now)) {
        continue;
      }
      if (isSlow(one.health)) {
        if (one.health.isProbeDue(now, PROBE_INTERVAL_NANOS)) {
          return take(one, neededNanos, now);
        }
      } else if (best == null
          || one.health.logLatency() < best.health.logLatency() - BAND_LOG_FACTOR) {
        best = one;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    turn = (turn + 1) % candidates.length;
    return take(best, neededNanos, now);
  }

  private Optional<SlotTicket> take(Candidate candidate, long neededNanos, long now) {
    Optional<SlotTicket> ticket = shares.acquire(candidate.executor, neededNanos, now);
    if (ticket.isPresent()) {
      candidate.health.sent(now);
    }
    return ticket;
  }

  private boolean isSlow(ExecutorHealth one) {
    return one.isMeasured() && one.logLatency() > slowLog;
  }

  /** Sets the bound of slowness from the median, so that it never cuts off many executors. */
  private void review(long now) {
    if (reviewed && now - reviewedAt < REVIEW_NANOS) {
      return;
    }
    reviewed = true;
    reviewedAt = now;
    double[] logs =
        health.values().stream()
            .filter(ExecutorHealth::isMeasured)
            .mapToDouble(ExecutorHealth::logLatency)
            .toArray();
    Arrays.sort(logs);
    if (logs.length == 0) {
      slowLog = Double.MAX_VALUE;
      return;
    }
    int kept = (int) Math.ceil(logs.length * (1 - MAX_SLOW_PART)) - 1;
    slowLog = Math.max(logs[logs.length / 2] + SLOW_LOG_FACTOR, logs[kept]);
  }

  /**
   * Tells whether an executor is worth a slot: its breaker is closed and it is not slow.
   *
   * @param executor identifier of the executor
   * @param now monotonic time in nanoseconds
   * @return whether it is
   */
  public boolean isUsable(String executor, long now) {
    ExecutorHealth one = health.get(executor);
    return one != null && one.allows(now) && !isSlow(one);
  }

  @Override
  public void attemptEnded(SlotTicket ticket, AttemptOutcome ending, long tookNanos, long now) {
    shares.release(ticket, ending == AttemptOutcome.LOST ? lostRestNanos : 0, now);
    ExecutorHealth one = health.get(ticket.executor());
    if (one == null) {
      return;
    }
    switch (ending) {
      case ANSWERED -> one.answered(tookNanos);
      case NOT_STARTED -> one.refused(now);
      case LOST -> one.lost(tookNanos, now);
    }
  }

  /**
   * Counts the slots that may be used now.
   *
   * @param now monotonic time in nanoseconds
   * @return the slots, those in use among them
   */
  public SlotCount count(long now) {
    int free = 0;
    int busy = 0;
    for (Candidate one : candidates) {
      busy += one.slots.busyCount();
      if (one.health.allows(now) && !isSlow(one.health)) {
        free += one.slots.freeCount(now) + one.slots.freeLoans();
      }
    }
    return new SlotCount(free, busy);
  }

  /** One executor with all that the choice looks at. */
  private record Candidate(String executor, ExecutorHealth health, ExecutorSlots slots) {
    boolean hasFree(long neededNanos, int limit, long now) {
      return (slots.freeSlot(now) >= 0 || slots.hasFreeLoan(now, neededNanos))
          && slots.busyCount() < limit;
    }
  }
}
