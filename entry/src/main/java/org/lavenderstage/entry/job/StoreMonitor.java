package org.lavenderstage.entry.job;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;

/**
 * A log that passes all calls to another one and monitors whether the store answers them. Only
 * failed calls, which include those that timed out, show that the store is unavailable; a call
 * without a result yet does not, since its answer may be waiting in this process. Thread-safe.
 */
final class StoreMonitor implements KeyedLog {
  private final KeyedLog log;
  private final LongSupplier clock;
  private long lastAnswerMillis;

  /** The time since when calls have failed, empty if none failed since the last answer. */
  private OptionalLong failingSinceMillis = OptionalLong.empty();

  /**
   * Creates a monitor. Until the first call has a result, the store counts as available.
   *
   * @param log the log to monitor
   * @param clock returns the monotonic time in milliseconds
   */
  StoreMonitor(KeyedLog log, LongSupplier clock) {
    this.log = log;
    this.clock = clock;
    lastAnswerMillis = clock.getAsLong();
  }

  /**
   * Returns for how long the store has been known not to answer, in milliseconds. The time begins
   * with the first call that failed since the last answer.
   *
   * @return the time in milliseconds, 0 if no call failed since the last answer
   */
  synchronized long silentMillis() {
    return failingSinceMillis.isPresent() ? clock.getAsLong() - failingSinceMillis.getAsLong() : 0;
  }

  /** Returns how long ago the last answer of the store was received, in milliseconds. */
  synchronized long lastAnswerAgeMillis() {
    return clock.getAsLong() - lastAnswerMillis;
  }

  @Override
  public int maxAppendBytes() {
    return log.maxAppendBytes();
  }

  @Override
  public CompletableFuture<Append> append(
      LogTopic topic, OptionalLong at, List<KeyedRecord> records) {
    long sentMillis = clock.getAsLong();
    return log.append(topic, at, records)
        .whenComplete(
            (result, failure) ->
                recordResult(
                    result instanceof Append.Stored || result instanceof Append.EndMoved,
                    sentMillis));
  }

  @Override
  public CompletableFuture<Read> read(LogTopic topic, long from, int waitMillis) {
    long sentMillis = clock.getAsLong();
    return log.read(topic, from, waitMillis)
        .whenComplete(
            (result, failure) ->
                recordResult(
                    result instanceof Read.Records || result instanceof Read.Expired, sentMillis));
  }

  @Override
  public CompletableFuture<Newest> newest(LogTopic topic, Optional<String> after) {
    long sentMillis = clock.getAsLong();
    return log.newest(topic, after)
        .whenComplete((result, failure) -> recordResult(result instanceof Newest.Page, sentMillis));
  }

  private synchronized void recordResult(boolean answered, long sentMillis) {
    if (answered) {
      lastAnswerMillis = clock.getAsLong();
      failingSinceMillis = OptionalLong.empty();
    } else if (failingSinceMillis.isEmpty()) {
      failingSinceMillis = OptionalLong.of(Math.max(sentMillis, lastAnswerMillis));
    }
  }
}
