package org.lavenderstage.entry.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLog;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.SnapshotSearch;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

class SnapshotRecoveryTest {
  private static final String STREAM = "cell";
  private static final long RETENTION_MILLIS = 60_000;
  private static final int PAGE_RECORDS = 50;

  private long nowMillis = 1_000_000;
  private final FakeLog log = new FakeLog(() -> nowMillis, RETENTION_MILLIS, new FaultSwitch(), 1);
  private final LedgerStream<CellLedger> existing = new LedgerStream<>(new CellLedger(10));
  private long sequence;
  private int jobs;

  @Property(seed = "1", tries = 30)
  void newReplicaMatchesExistingOneAtEveryStep(@ForAll @Size(min = 200, max = 260) List<Step> steps)
      throws Exception {
    checkNewReplicas(steps);
  }

  @Tag("fresh")
  @Property(tries = 30)
  void newReplicaMatchesExistingOneUnderFreshSeeds(
      @ForAll @Size(min = 200, max = 260) List<Step> steps) throws Exception {
    checkNewReplicas(steps);
  }

  private void checkNewReplicas(List<Step> steps) throws Exception {
    for (Step step : steps) {
      run(step);
      readToEnd(existing);
      if (step == Step.START_REPLICA) {
        Optional<LedgerStream<CellLedger>> newReplica = startNewReplica();
        newReplica.ifPresent(this::assertSame);
      }
    }
  }

  private void assertSame(LedgerStream<CellLedger> newReplica) {
    assertEquals(existing.nextOffset(), newReplica.nextOffset());
    assertEquals(existing.stateMachine().digest(), newReplica.stateMachine().digest());
    assertEquals(existing.lastSequence("writer"), newReplica.lastSequence("writer"));
    assertEquals(
        List.copyOf(existing.stateMachine().waitingJobs()),
        List.copyOf(newReplica.stateMachine().waitingJobs()));
    assertEquals(
        List.copyOf(existing.stateMachine().placedJobs()),
        List.copyOf(newReplica.stateMachine().placedJobs()));
  }

  @Test
  void newReplicaStartsFromSnapshotAfterAllOtherRecordsExpired() throws Exception {
    run(Step.CLAIM);
    run(Step.SUBMIT);
    readToEnd(existing);
    nowMillis += RETENTION_MILLIS / 2;
    run(Step.SNAPSHOT);
    nowMillis += RETENTION_MILLIS / 2 + 1;
    readToEnd(existing);
    assertSame(startNewReplica().orElseThrow());
  }

  @Test
  void newReplicaIsNotReadyWithoutCompleteSnapshot() throws Exception {
    run(Step.CLAIM);
    run(Step.SUBMIT);
    readToEnd(existing);
    nowMillis += RETENTION_MILLIS + 1;
    run(Step.INCOMPLETE_SNAPSHOT);
    assertTrue(startNewReplica().isEmpty());
  }

  @Test
  void digestDetectsReplicaThatIgnoresGap() throws Exception {
    run(Step.CLAIM);
    run(Step.SUBMIT);
    readToEnd(existing);
    nowMillis += RETENTION_MILLIS / 2;
    run(Step.SNAPSHOT);
    nowMillis += RETENTION_MILLIS / 2 + 1;
    readToEnd(existing);
    LedgerStream<CellLedger> broken = new LedgerStream<>(new CellLedger(10));
    readToEnd(broken);
    assertEquals(existing.nextOffset(), broken.nextOffset());
    assertNotEquals(existing.stateMachine().digest(), broken.stateMachine().digest());
  }

  @Test
  void snapshotOlderThanFirstKeptRecordIsNotRestored() throws Exception {
    run(Step.CLAIM);
    readToEnd(existing);
    List<LedgerRecord> earlySnapshot = snapshotRecords();
    run(Step.SUBMIT);
    readToEnd(existing);
    nowMillis += RETENTION_MILLIS + 1;
    earlySnapshot.forEach(this::append);
    assertFalse(startNewReplica().isPresent());
  }

  /** Random steps of a scenario. */
  enum Step {
    CLAIM,
    REGISTER,
    SUBMIT,
    PLACE,
    REPEATED_APPEND,
    SNAPSHOT,
    INCOMPLETE_SNAPSHOT,
    WAIT,
    WAIT_LONG,
    START_REPLICA
  }

  private void run(Step step) {
    switch (step) {
      case CLAIM ->
          append(
              new CellClaimed(
                  "cell", "writer", existing.stateMachine().ownership().epoch() + 1, 30_000));
      case REGISTER ->
          append(new WorkerRegistered("worker-" + jobs % 3, "a", "cell", "rack", 8000, 8000, 0));
      case SUBMIT ->
          append(new JobAccepted("job-" + jobs++, "w", "class", 1000, 100, 0, 10, false, ""));
      case PLACE -> append(placement());
      case REPEATED_APPEND -> {
        append(placement());
        sequence--;
        append(placement());
      }
      case SNAPSHOT -> snapshotRecords().forEach(this::append);
      case INCOMPLETE_SNAPSHOT -> {
        List<LedgerRecord> records = snapshotRecords();
        records.subList(1, records.size()).forEach(this::append);
      }
      case WAIT -> nowMillis += RETENTION_MILLIS / 20;
      case WAIT_LONG -> nowMillis += RETENTION_MILLIS / 3;
      case START_REPLICA -> {
        // checkNewReplicas starts and checks the replica
      }
    }
  }

  private TaskPlaced placement() {
    long epoch = existing.stateMachine().ownership().epoch();
    String job = "job-" + Math.max(0, jobs - 1);
    return new TaskPlaced(job, 1, "worker-" + jobs % 3, "cell", epoch, nowMillis + 100_000);
  }

  private List<LedgerRecord> snapshotRecords() {
    byte[] state = StateCodec.encode(existing.snapshot());
    return SnapshotWriter.records(state, existing.nextOffset(), existing.stateMachine().digest());
  }

  private void append(LedgerRecord record) {
    sequence++;
    byte[] bytes = LedgerCodec.encode(RecordBatch.of("writer", sequence, List.of(record)));
    try {
      log.append(STREAM, bytes);
    } catch (PlatformUnavailableException e) {
      throw new AssertionError(e);
    }
  }

  private void readToEnd(LedgerStream<CellLedger> stream) throws Exception {
    LogPage page;
    do {
      page = log.read(STREAM, stream.nextOffset(), PAGE_RECORDS, Duration.ZERO);
      for (StoredRecord record : page.records()) {
        stream.apply(position(record), batch(record), (at, proposal, effective) -> {});
      }
    } while (stream.nextOffset() < page.endOffset() && !page.records().isEmpty());
  }

  /** Starts a replica as on a new VM: from a snapshot if early records have expired. */
  private Optional<LedgerStream<CellLedger>> startNewReplica() throws Exception {
    LedgerStream<CellLedger> newReplica = new LedgerStream<>(new CellLedger(10));
    LogPage page = log.read(STREAM, 0, PAGE_RECORDS, Duration.ZERO);
    if (page.firstKeptOffset() > 0) {
      Optional<StreamState> state = search(page.firstKeptOffset());
      if (state.isEmpty()) {
        return Optional.empty();
      }
      newReplica.restore(state.get());
    }
    readToEnd(newReplica);
    return Optional.of(newReplica);
  }

  private Optional<StreamState> search(long from) throws Exception {
    SnapshotSearch search = new SnapshotSearch(from);
    Optional<StreamState> state = Optional.empty();
    LogPage page;
    do {
      page = log.read(STREAM, search.nextOffset(), PAGE_RECORDS, Duration.ZERO);
      state = search.search(page);
    } while (state.isEmpty() && search.nextOffset() < page.endOffset());
    return state;
  }

  private static RecordPosition position(StoredRecord record) {
    return new RecordPosition(record.offset(), record.appendTimeMillis());
  }

  private static RecordBatch batch(StoredRecord record) throws MalformedMessageException {
    return LedgerCodec.decode(record.bytes());
  }
}
