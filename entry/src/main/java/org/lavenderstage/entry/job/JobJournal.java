package org.lavenderstage.entry.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.pool.JournalBatch;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Stores the owner's changes, one append at a time. A batch that is too long for one append is
 * stored by several; it counts as stored after the last one. Each append specifies the offset at
 * which the topic must end. Therefore it takes effect only once, however often it is repeated and
 * however late a copy arrives, and never after another entry's claim. Used only by the owner's
 * thread.
 */
final class JobJournal {
  /** Pause before an append is repeated, in milliseconds; several round trips. */
  private static final long RETRY_DELAY_MILLIS = 60;

  private final KeyedLog log;
  private final Consumer<OwnerEvent> events;
  private long endOffset;
  private Optional<JournalBatch> batch = Optional.empty();
  private List<KeyedRecord> records = List.of();
  private final Deque<KeyedRecord> furtherRecords = new ArrayDeque<>();
  private boolean appendInFlight;
  private long lastCall;
  private boolean endReadInFlight;
  private long retryAtMillis;
  private long startedAtMillis;
  private long confirmedMillis;
  private boolean deposed;
  private boolean failing;

  JobJournal(KeyedLog log, long endOffset, long confirmedMillis, Consumer<OwnerEvent> events) {
    this.log = log;
    this.endOffset = endOffset;
    this.confirmedMillis = confirmedMillis;
    this.events = events;
  }

  /** Returns whether another entry has claimed the jobs. */
  boolean isDeposed() {
    return deposed;
  }

  boolean isBusy() {
    return batch.isPresent();
  }

  /** Returns how long the current append has been pending, in milliseconds; 0 if there is none. */
  long pendingMillis(long nowMillis) {
    return batch.isPresent() ? nowMillis - startedAtMillis : 0;
  }

  /** Returns the latest monotonic time in milliseconds at which the ownership was confirmed. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  void startAppend(JournalBatch next, long nowMillis) {
    batch = Optional.of(next);
    startedAtMillis = nowMillis;
    for (StoredChange change : next.changes()) {
      furtherRecords.add(new KeyedRecord(change.key(), change.record().map(StoredCodec::encode)));
    }
    records = takeNextRecords();
    sendAppend(nowMillis);
  }

  /** Takes as many of the records that are not appended yet as one append may contain. */
  private List<KeyedRecord> takeNextRecords() {
    List<KeyedRecord> taken = new ArrayList<>(furtherRecords.size());
    long bytes = 0;
    while (!furtherRecords.isEmpty()) {
      bytes += furtherRecords.peekFirst().storedBytes();
      if (!taken.isEmpty() && bytes > log.maxAppendBytes()) {
        break;
      }
      taken.add(furtherRecords.removeFirst());
    }
    return taken;
  }

  private void sendAppend(long nowMillis) {
    appendInFlight = true;
    long call = ++lastCall;
    CompletableFuture<Void> unused =
        log.append(LogTopic.JOBS, OptionalLong.of(endOffset), records)
            .thenAccept(result -> events.accept(new OwnerEvent.AppendCompleted(result, call)));
    retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
  }

  /** Repeats an append whose outcome is unknown, once the pause is over. */
  void retryIfDue(long nowMillis) {
    if (batch.isPresent() && !appendInFlight && !endReadInFlight && nowMillis >= retryAtMillis) {
      sendAppend(nowMillis);
    }
  }

  /**
   * Starts a read of the records after the known end of the topic, unless one is pending. The
   * append that may be pending meanwhile is conditional on this end, so the read shows either the
   * append, or another entry's records, or none.
   *
   * @return whether the read was started
   */
  boolean readEnd(long nowMillis) {
    if (endReadInFlight) {
      return false;
    }
    endReadInFlight = true;
    long from = endOffset;
    CompletableFuture<Void> unused =
        log.read(LogTopic.JOBS, from, 0)
            .thenAccept(
                result -> events.accept(new OwnerEvent.JournalEndRead(result, from, nowMillis)));
    return true;
  }

  /** Handles the result of an append. Returns the batch if it is stored. */
  Optional<JournalBatch> handleAppendResult(OwnerEvent.AppendCompleted completed, long nowMillis) {
    if (completed.call() != lastCall || batch.isEmpty()) {
      return Optional.empty();
    }
    appendInFlight = false;
    switch (completed.result()) {
      case KeyedLog.Append.Stored stored -> {
        return finish(stored.end(), nowMillis);
      }
      case KeyedLog.Append.EndMoved moved -> readEnd(nowMillis);
      case KeyedLog.Append.Refused refused -> handleFailure(refused.cause(), nowMillis);
      case KeyedLog.Append.Unanswered unanswered -> handleFailure(unanswered.cause(), nowMillis);
    }
    return Optional.empty();
  }

  private void handleFailure(String cause, long nowMillis) {
    retryAtMillis = nowMillis + RETRY_DELAY_MILLIS;
    if (!failing) {
      failing = true;
      EventLog.warn(LogEvent.JOURNAL_STALLED, "offset", endOffset, "cause", cause);
    }
  }

  private Optional<JournalBatch> finish(long newEndOffset, long nowMillis) {
    if (failing) {
      failing = false;
      EventLog.info(
          LogEvent.JOURNAL_RESUMED, "offset", endOffset, "waited-ms", nowMillis - startedAtMillis);
    }
    endOffset = newEndOffset;
    confirmedMillis = Math.max(confirmedMillis, startedAtMillis);
    if (!furtherRecords.isEmpty()) {
      records = takeNextRecords();
      sendAppend(nowMillis);
      return Optional.empty();
    }
    Optional<JournalBatch> storedBatch = batch;
    batch = Optional.empty();
    records = List.of();
    return storedBatch;
  }

  /**
   * Handles the result of a read at the known end. Returns the batch if the read shows that it is
   * stored. Any other record after the known end was written by another entry. All records before
   * the known end are own ones, so a read that shows no others confirms the ownership, even if the
   * known end has moved since the read was sent.
   */
  Optional<JournalBatch> handleEndRead(OwnerEvent.JournalEndRead read, long nowMillis) {
    endReadInFlight = false;
    if (read.result() instanceof KeyedLog.Read.Records found
        && found.end() <= endOffset
        && read.from() + found.records().size() <= endOffset) {
      confirmedMillis = Math.max(confirmedMillis, read.sentMillis());
      return Optional.empty();
    }
    if (read.from() != endOffset) {
      return Optional.empty();
    }
    return switch (read.result()) {
      case KeyedLog.Read.Records found -> handleEndRead(found, read.sentMillis(), nowMillis);
      case KeyedLog.Read.Expired expired -> {
        // The records after the known end cannot be read, and may include another entry's claim.
        setDeposed("records from offset " + endOffset + " on have expired");
        yield Optional.empty();
      }
      case KeyedLog.Read.Failed failed -> Optional.empty();
    };
  }

  private Optional<JournalBatch> handleEndRead(
      KeyedLog.Read.Records found, long sentMillis, long nowMillis) {
    if (isOwnAppend(found.records())) {
      Optional<JournalBatch> storedBatch = finish(endOffset + records.size(), nowMillis);
      if (found.end() <= endOffset) {
        confirmedMillis = Math.max(confirmedMillis, sentMillis);
      }
      return storedBatch;
    }
    if (!found.records().isEmpty()) {
      setDeposed("the record at offset " + endOffset + " was written by another entry");
    }
    return Optional.empty();
  }

  private void setDeposed(String cause) {
    deposed = true;
    EventLog.warn(LogEvent.JOURNAL_OVERTAKEN, "offset", endOffset, "cause", cause);
  }

  private boolean isOwnAppend(List<KeyedRecord> found) {
    if (batch.isEmpty() || found.size() < records.size()) {
      return false;
    }
    for (int i = 0; i < records.size(); i++) {
      KeyedRecord ownRecord = records.get(i);
      KeyedRecord storedRecord = found.get(i);
      byte[] noValue = new byte[0];
      if (!ownRecord.key().equals(storedRecord.key())
          || !Arrays.equals(
              ownRecord.value().orElse(noValue), storedRecord.value().orElse(noValue))) {
        return false;
      }
    }
    return true;
  }
}
