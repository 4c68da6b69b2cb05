package org.lavenderstage.entry.job;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.function.LongSupplier;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Measures the rounds of the owner's thread: the time of each part, the pauses between rounds and
 * the length of its queue. Summarized once a second. Used by one thread.
 */
final class OwnerLoad {
  /** Interval between two summaries, in nanoseconds. */
  private static final long SUMMARY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final double NANOS_PER_MILLI = 1e6;

  /** A part of a round. */
  enum Part {
    /** Handling of queued events. */
    EVENTS,
    /** Checks of the ownership and decisions of the scheduler. */
    SCHEDULING,
    /** Sending of the scheduler's orders. */
    SENDING,
    /** The rest: appends to the journal, and callers whose time is up. */
    JOURNAL
  }

  private final Map<Part, Long> nanos = new EnumMap<>(Part.class);
  private final Map<Part, Long> counts = new EnumMap<>(Part.class);
  private final LongSupplier nanoClock;
  private final LongAccumulator longestAnswerNanos = new LongAccumulator(Math::max, 0);
  private long intervalStartNanos;
  private long roundStartNanos;
  private long lastMarkNanos;
  private long rounds;
  private long longestRoundNanos;
  private long longestPauseNanos;
  private long longestQueue;
  private long longestAppendMillis;

  /**
   * Begins the first interval.
   *
   * @param nanoClock returns the monotonic time in nanoseconds
   */
  OwnerLoad(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    intervalStartNanos = nanoClock.getAsLong();
    lastMarkNanos = intervalStartNanos;
  }

  /** Begins a round. The time since the last round was a pause. */
  void beginRound(long queueLength) {
    roundStartNanos = nanoClock.getAsLong();
    longestPauseNanos = Math.max(longestPauseNanos, roundStartNanos - lastMarkNanos);
    longestQueue = Math.max(longestQueue, queueLength);
    lastMarkNanos = roundStartNanos;
  }

  /** Ends a part of the round, which handled or created a number of events or orders. */
  void endPart(Part part, long count) {
    long nowNanos = nanoClock.getAsLong();
    nanos.merge(part, nowNanos - lastMarkNanos, Long::sum);
    counts.merge(part, count, Long::sum);
    lastMarkNanos = nowNanos;
  }

  /**
   * Measures the time until an order is answered, unless it is a poll, whose answer waits for ends
   * of runs. The answer may arrive in another thread.
   *
   * @param order the order
   * @param result the result to come
   * @return the same result
   */
  CompletableFuture<OrderResult> timeAnswer(Order order, CompletableFuture<OrderResult> result) {
    if (order instanceof Order.Poll) {
      return result;
    }
    long sentNanos = nanoClock.getAsLong();
    return result.whenComplete(
        (answer, failure) -> longestAnswerNanos.accumulate(nanoClock.getAsLong() - sentNanos));
  }

  /**
   * Ends a round, and logs a summary if it is due.
   *
   * @param appendMillis how long the current append to the journal has been pending
   * @return duration of the round, in milliseconds
   */
  double endRound(long appendMillis) {
    summarizeRound(appendMillis).ifPresent(summary -> EventLog.info(LogEvent.OWNER_LOAD, summary));
    return (lastMarkNanos - roundStartNanos) / NANOS_PER_MILLI;
  }

  /** Ends a round. Returns the summary as alternating names and values, if it is due. */
  Optional<Object[]> summarizeRound(long appendMillis) {
    endPart(Part.JOURNAL, 0);
    long nowNanos = lastMarkNanos;
    rounds++;
    longestRoundNanos = Math.max(longestRoundNanos, nowNanos - roundStartNanos);
    longestAppendMillis = Math.max(longestAppendMillis, appendMillis);
    if (nowNanos - intervalStartNanos < SUMMARY_INTERVAL_NANOS) {
      return Optional.empty();
    }
    Object[] summary = {
      "interval-ms",
      millis(nowNanos - intervalStartNanos),
      "rounds",
      rounds,
      "longest-round-ms",
      millis(longestRoundNanos),
      "longest-pause-ms",
      millis(longestPauseNanos),
      "longest-queue",
      longestQueue,
      "longest-append-ms",
      longestAppendMillis,
      "longest-answer-ms",
      millis(longestAnswerNanos.getThenReset()),
      "events",
      counts.getOrDefault(Part.EVENTS, 0L),
      "orders",
      counts.getOrDefault(Part.SENDING, 0L),
      label(Part.EVENTS),
      partMillis(Part.EVENTS),
      label(Part.SCHEDULING),
      partMillis(Part.SCHEDULING),
      label(Part.SENDING),
      partMillis(Part.SENDING),
      label(Part.JOURNAL),
      partMillis(Part.JOURNAL),
    };
    reset(nowNanos);
    return Optional.of(summary);
  }

  private void reset(long nowNanos) {
    intervalStartNanos = nowNanos;
    nanos.clear();
    counts.clear();
    rounds = 0;
    longestRoundNanos = 0;
    longestPauseNanos = 0;
    longestQueue = 0;
    longestAppendMillis = 0;
  }

  private static String label(Part part) {
    return part.name().toLowerCase(Locale.ROOT) + "-ms";
  }

  private long partMillis(Part part) {
    return millis(nanos.getOrDefault(part, 0L));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
