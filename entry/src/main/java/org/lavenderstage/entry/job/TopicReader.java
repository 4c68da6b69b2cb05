package org.lavenderstage.entry.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;

/**
 * Reads one keyed topic: first the newest record of each key, then the records appended since. If
 * the next records are no longer in the log, it starts again with the newest record of each key.
 * Not thread-safe.
 */
final class TopicReader {
  /** Protects a thread against a future that is never completed, in milliseconds. */
  private static final long RESULT_TIMEOUT_MILLIS = 10_000;

  private static final long UNKNOWN_OFFSET = -1;

  /** The result of a poll. */
  sealed interface Poll {
    /** The newest record of each key. All other keys are deleted. */
    record Snapshot(List<KeyedRecord> records) implements Poll {}

    /** The records appended since the previous poll. */
    record Changes(List<KeyedRecord> records) implements Poll {}

    /** The log could not be read. */
    record Failed(String cause) implements Poll {}
  }

  private final KeyedLog log;
  private final LogTopic topic;
  private long nextOffset = UNKNOWN_OFFSET;

  TopicReader(KeyedLog log, LogTopic topic) {
    this.log = log;
    this.topic = topic;
  }

  /** Returns the offset of the next record to read, -1 before the topic was read. */
  long nextOffset() {
    return nextOffset;
  }

  /** Reads the newest records, or waits up to the given time for the next ones. */
  Poll poll(int waitMillis) throws InterruptedException {
    return nextOffset == UNKNOWN_OFFSET ? readAll() : readNext(waitMillis);
  }

  private Poll readNext(int waitMillis) throws InterruptedException {
    return switch (awaitResult(log.read(topic, nextOffset, waitMillis))) {
      case KeyedLog.Read.Records records -> {
        nextOffset = records.from() + records.records().size();
        yield new Poll.Changes(records.records());
      }
      case KeyedLog.Read.Expired expired -> {
        nextOffset = UNKNOWN_OFFSET;
        yield readAll();
      }
      case KeyedLog.Read.Failed failed -> new Poll.Failed(failed.cause());
    };
  }

  /**
   * Reads all pages of the newest records. The next poll starts at the end that the first page
   * contains, so that no change made while the pages were read is missed.
   */
  private Poll readAll() throws InterruptedException {
    List<KeyedRecord> allRecords = new ArrayList<>();
    long endOffset = UNKNOWN_OFFSET;
    Optional<String> lastKey = Optional.empty();
    while (true) {
      switch (awaitResult(log.newest(topic, lastKey))) {
        case KeyedLog.Newest.Failed failed -> {
          return new Poll.Failed(failed.cause());
        }
        case KeyedLog.Newest.Page page -> {
          endOffset = endOffset == UNKNOWN_OFFSET ? page.end() : endOffset;
          allRecords.addAll(page.records());
          if (!page.more() || page.records().isEmpty()) {
            nextOffset = endOffset;
            return new Poll.Snapshot(allRecords);
          }
          lastKey = Optional.of(page.records().get(page.records().size() - 1).key());
        }
      }
    }
  }

  /** Waits for a future that never completes exceptionally. */
  static <T> T awaitResult(CompletableFuture<T> future) throws InterruptedException {
    try {
      return future.get(RESULT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException | CancellationException e) {
      throw new IllegalStateException("a call to the store failed or did not complete in time", e);
    }
  }
}
