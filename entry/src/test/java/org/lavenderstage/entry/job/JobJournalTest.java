package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.pool.JournalBatch;

/** Tests reads of the end of the journal beside a pending append. */
class JobJournalTest {
  private static final long CLAIMED_AT_MILLIS = 10_000;
  private static final long APPENDED_AT_MILLIS = 10_100;
  private static final long READ_AT_MILLIS = 10_900;
  private static final long HANDLED_AT_MILLIS = 11_000;

  private final InMemoryKeyedLog log = new InMemoryKeyedLog();
  private final Queue<OwnerEvent> events = new ArrayDeque<>();
  private final JobJournal journal = new JobJournal(log, 0, CLAIMED_AT_MILLIS, events::add);

  private static JournalBatch batch(String... keys) {
    List<StoredChange> changes =
        Stream.of(keys).map(key -> new StoredChange(key, Optional.empty())).toList();
    return new JournalBatch(changes, Map.of(), List.of());
  }

  private void appendByOtherEntry() {
    KeyedRecord claim = new KeyedRecord(StoredChange.OWNER_KEY, Optional.of(new byte[] {1}));
    log.append(LogTopic.JOBS, OptionalLong.empty(), List.of(claim)).join();
  }

  private Optional<JournalBatch> handleNextEvent() {
    return switch (events.remove()) {
      case OwnerEvent.AppendCompleted completed ->
          journal.handleAppendResult(completed, HANDLED_AT_MILLIS);
      case OwnerEvent.JournalEndRead read -> journal.handleEndRead(read, HANDLED_AT_MILLIS);
      default -> throw new IllegalStateException("unexpected event");
    };
  }

  /** Guards against a confirmation that is discarded because the append was answered first. */
  @Test
  void readThatIsHandledAfterAppendConfirmsOwnership() {
    journal.readEnd(READ_AT_MILLIS);
    journal.startAppend(batch("a"), APPENDED_AT_MILLIS);
    OwnerEvent read = events.remove();
    assertTrue(handleNextEvent().isPresent());
    events.add(read);
    assertTrue(handleNextEvent().isEmpty());
    assertEquals(READ_AT_MILLIS, journal.confirmedMillis());
  }

  /** Guards against a read that finds the pending append and confirms only the time before it. */
  @Test
  void readThatFindsOwnAppendConfirmsOwnership() {
    journal.startAppend(batch("a", "b"), APPENDED_AT_MILLIS);
    OwnerEvent appended = events.remove();
    journal.readEnd(READ_AT_MILLIS);
    assertTrue(handleNextEvent().isPresent());
    assertEquals(READ_AT_MILLIS, journal.confirmedMillis());
    events.add(appended);
    assertTrue(handleNextEvent().isEmpty());
    assertFalse(journal.isBusy());
  }

  @Test
  void readThatFindsClaimBehindOwnAppendDoesNotConfirmOwnership() {
    journal.startAppend(batch("a"), APPENDED_AT_MILLIS);
    events.remove();
    appendByOtherEntry();
    journal.readEnd(READ_AT_MILLIS);
    assertTrue(handleNextEvent().isPresent());
    assertEquals(APPENDED_AT_MILLIS, journal.confirmedMillis());
    journal.readEnd(READ_AT_MILLIS);
    assertTrue(handleNextEvent().isEmpty());
    assertTrue(journal.isDeposed());
  }

  @Test
  void outdatedReadThatFindsClaimDoesNotConfirmOwnership() {
    journal.startAppend(batch("a"), APPENDED_AT_MILLIS);
    OwnerEvent appended = events.remove();
    appendByOtherEntry();
    journal.readEnd(READ_AT_MILLIS);
    OwnerEvent read = events.remove();
    events.add(appended);
    assertTrue(handleNextEvent().isPresent());
    events.add(read);
    assertTrue(handleNextEvent().isEmpty());
    assertEquals(APPENDED_AT_MILLIS, journal.confirmedMillis());
  }

  @Test
  void readThatFindsClaimInsteadOfPendingAppendDeposesOwner() {
    appendByOtherEntry();
    journal.startAppend(batch("a"), APPENDED_AT_MILLIS);
    events.clear();
    journal.readEnd(READ_AT_MILLIS);
    assertTrue(handleNextEvent().isEmpty());
    assertTrue(journal.isDeposed());
    assertEquals(CLAIMED_AT_MILLIS, journal.confirmedMillis());
  }

  /** Regression: all changes of a batch went into one append, however long the records were. */
  @Test
  void batchThatIsTooLongForOneAppendIsStoredBySeveral() {
    log.maxAppendBytes = 3 * new KeyedRecord("a", Optional.empty()).storedBytes();
    journal.startAppend(batch("a", "b", "c", "d", "e", "f", "g"), APPENDED_AT_MILLIS);
    assertTrue(handleNextEvent().isEmpty());
    log.appendAnswersToLose = 1;
    assertTrue(handleNextEvent().isEmpty());
    assertTrue(handleNextEvent().isEmpty(), "the last append was not answered");
    assertTrue(journal.isBusy());
    journal.retryIfDue(HANDLED_AT_MILLIS + 1_000);
    Optional<JournalBatch> stored = Optional.empty();
    while (!events.isEmpty()) {
      stored = handleNextEvent();
    }
    assertEquals(7, stored.orElseThrow().changes().size());
    assertEquals(List.of(3, 3, 1), log.appendedCounts);
    assertFalse(journal.isBusy());
  }
}
