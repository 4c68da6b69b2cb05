package org.lavenderstage.entry.job;

import java.util.ArrayList;
import java.util.Arrays;
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
 * Stores the owner's changes, one append at a time. Each append names the offset at which the topic
 * has to end: however often it is repeated and however late a copy arrives, it takes effect once,
 * and never after another entry's claim. Only the owner's thread uses it.
 */
final class JobJournal {
  /** Pause before an append is repeated, in milliseconds; some round trips. */
  private static final long REPEAT_MILLIS = 60;

  private final KeyedLog log;
  private final Consumer<OwnerEvent> events;
  private long end;
  private Optional<JournalBatch> batch = Optional.empty();
  private List<KeyedRecord> records = List.of();
  private boolean callInFlight;
  private long lastCall;
  private boolean checkInFlight;
  private long repeatAtMillis;
  private long openSinceMillis;
  private long confirmedMillis;
  private boolean deposed;
  private boolean failing;

  JobJournal(KeyedLog log, long end, long confirmedMillis, Consumer<OwnerEvent> events) {
    this.log = log;
    this.end = end;
    this.confirmedMillis = confirmedMillis;
    this.events = events;
  }

  /** Tells whether another entry has claimed the jobs. */
  boolean isDeposed() {
    return deposed;
  }

  boolean isBusy() {
    return batch.isPresent();
  }

  /** Returns how long the append under way has been waiting, in milliseconds. */
  long waitingMillis(long nowMillis) {
    return batch.isPresent() ? nowMillis - openSinceMillis : 0;
  }

  /** Returns the steady time at which this entry was certainly the owner. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  void begin(JournalBatch next, long nowMillis) {
    batch = Optional.of(next);
    openSinceMillis = nowMillis;
    records = new ArrayList<>(next.changes().size());
    for (StoredChange change : next.changes()) {
      records.add(new KeyedRecord(change.key(), change.record().map(StoredCodec::encode)));
    }
    send(nowMillis);
  }

  private void send(long nowMillis) {
    callInFlight = true;
    long call = ++lastCall;
    CompletableFuture<Void> unused =
        log.append(LogTopic.JOBS, OptionalLong.of(end), records)
            .thenAccept(result -> events.accept(new OwnerEvent.AppendEnded(result, call)));
    repeatAtMillis = nowMillis + REPEAT_MILLIS;
  }

  /** Repeats an append that is still undecided. */
  void step(long nowMillis) {
    if (batch.isPresent() && !callInFlight && !checkInFlight && nowMillis >= repeatAtMillis) {
      send(nowMillis);
    }
  }

  /** Asks whether anything was appended behind the end that is known. */
  void check(long nowMillis) {
    if (checkInFlight) {
      return;
    }
    checkInFlight = true;
    long from = end;
    CompletableFuture<Void> unused =
        log.read(LogTopic.JOBS, from, 0)
            .thenAccept(result -> events.accept(new OwnerEvent.EndRead(result, from, nowMillis)));
  }

  /** Takes the result of an append; returns the batch where it is stored. */
  Optional<JournalBatch> appended(OwnerEvent.AppendEnded ended, long nowMillis) {
    if (ended.call() != lastCall || batch.isEmpty()) {
      return Optional.empty();
    }
    callInFlight = false;
    switch (ended.result()) {
      case KeyedLog.Append.Stored stored -> {
        return finish(stored.end(), nowMillis);
      }
      case KeyedLog.Append.EndMoved moved -> check(nowMillis);
      case KeyedLog.Append.Refused refused -> failed(refused.cause(), nowMillis);
      case KeyedLog.Append.Unanswered unanswered -> failed(unanswered.cause(), nowMillis);
    }
    return Optional.empty();
  }

  private void failed(String cause, long nowMillis) {
    repeatAtMillis = nowMillis + REPEAT_MILLIS;
    if (!failing) {
      failing = true;
      EventLog.warn(LogEvent.JOURNAL_STALLED, "offset", end, "cause", cause);
    }
  }

  private Optional<JournalBatch> finish(long newEnd, long nowMillis) {
    if (failing) {
      failing = false;
      EventLog.info(
          LogEvent.JOURNAL_RESUMED, "offset", end, "waited-ms", nowMillis - openSinceMillis);
    }
    end = newEnd;
    confirmedMillis = Math.max(confirmedMillis, openSinceMillis);
    Optional<JournalBatch> done = batch;
    batch = Optional.empty();
    records = List.of();
    return done;
  }

  /**
   * Takes what a read at the end gave; returns the batch where it turns out to be stored. Anything
   * else behind the end was written by another entry.
   */
  Optional<JournalBatch> checked(OwnerEvent.EndRead read, long nowMillis) {
    checkInFlight = false;
    if (read.from() != end) {
      return Optional.empty();
    }
    return switch (read.result()) {
      case KeyedLog.Read.Records found -> checked(found, read.sentMillis(), nowMillis);
      case KeyedLog.Read.Expired expired -> {
        // What was appended behind the known end cannot be read; a claim may be among it.
        depose("the history behind offset " + end + " is gone");
        yield Optional.empty();
      }
      case KeyedLog.Read.Failed failed -> Optional.empty();
    };
  }

  private Optional<JournalBatch> checked(
      KeyedLog.Read.Records found, long sentMillis, long nowMillis) {
    if (found.records().isEmpty() && found.end() <= end) {
      confirmedMillis = Math.max(confirmedMillis, sentMillis);
      return Optional.empty();
    }
    if (isOurs(found.records())) {
      return finish(end + records.size(), nowMillis);
    }
    if (!found.records().isEmpty()) {
      depose("offset " + end + " holds another entry's record");
    }
    return Optional.empty();
  }

  private void depose(String cause) {
    deposed = true;
    EventLog.warn(LogEvent.JOURNAL_OVERTAKEN, "offset", end, "cause", cause);
  }

  private boolean isOurs(List<KeyedRecord> found) {
    if (batch.isEmpty() || found.size() < records.size()) {
      return false;
    }
    for (int i = 0; i < records.size(); i++) {
      KeyedRecord ours = records.get(i);
      KeyedRecord theirs = found.get(i);
      byte[] none = new byte[0];
      if (!ours.key().equals(theirs.key())
          || !Arrays.equals(ours.value().orElse(none), theirs.value().orElse(none))) {
        return false;
      }
    }
    return true;
  }
}
