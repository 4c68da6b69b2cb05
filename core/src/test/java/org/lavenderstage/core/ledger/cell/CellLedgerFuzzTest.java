package org.lavenderstage.core.ledger.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.CellRenewed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.JobRefused;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;

/**
 * Applies random records of several owners, current, stale and repeated, and compares the ledger
 * with a simple model.
 */
class CellLedgerFuzzTest {
  private static final int STEPS = 250;
  private static final int CPU_MILLIS = 4000;
  private static final int JOBS = 12;
  private static final int WORKERS = 3;
  private static final long LEASE_MILLIS = 1000;
  private static final long SKEW_MILLIS = 10;

  /** Random numbers from which one record is created. */
  record RecordSpec(
      int kind, int job, int worker, int detail, EndReason reason, int elapsedMillis) {}

  @Property(seed = "1", tries = 300)
  void everyInvariantHolds(@ForAll("sequences") List<RecordSpec> sequence) {
    run(sequence, UnaryOperator.identity());
  }

  @Property(tries = 300)
  @Tag("fresh")
  void everyInvariantHoldsWithFreshSeeds(@ForAll("sequences") List<RecordSpec> sequence) {
    run(sequence, UnaryOperator.identity());
  }

  @Test
  void detectsOvercommittedWorkers() {
    List<RecordSpec> sequence = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      sequence.add(new RecordSpec(3, job, 0, 1, EndReason.DONE, 0));
      sequence.add(new RecordSpec(6, job, 0, 1, EndReason.DONE, 0));
    }
    assertThrows(AssertionError.class, () -> run(sequence, CellLedgerFuzzTest::enlarged));
  }

  @Provide
  Arbitrary<List<RecordSpec>> sequences() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 13),
            Arbitraries.integers().between(0, JOBS - 1),
            Arbitraries.integers().between(0, WORKERS - 1),
            Arbitraries.integers().between(0, 6),
            Arbitraries.of(EndReason.class),
            Arbitraries.integers().between(0, 120))
        .as(RecordSpec::new)
        .list()
        .ofSize(STEPS);
  }

  private static void run(List<RecordSpec> sequence, UnaryOperator<LedgerRecord> mutation) {
    LedgerStream<CellLedger> stream = new LedgerStream<>(new CellLedger(SKEW_MILLIS));
    LedgerStream<CellLedger> replica = new LedgerStream<>(new CellLedger(SKEW_MILLIS));
    CellModel model = new CellModel(CPU_MILLIS);
    List<LedgerRecord> initialRecords = new ArrayList<>();
    initialRecords.add(new CellClaimed("cell", "entry-0", 1, LEASE_MILLIS));
    for (int i = 0; i < WORKERS; i++) {
      initialRecords.add(worker("worker-" + i, CPU_MILLIS));
    }
    long nowMillis = 1;
    long offset = 0;
    RecordBatch batch = RecordBatch.of("writer", 1, initialRecords.stream().map(mutation).toList());
    for (RecordSpec spec : sequence) {
      RecordPosition position = new RecordPosition(offset, nowMillis);
      stream.apply(
          position, batch, (at, record, effective) -> applyToModel(model, record, effective));
      replica.apply(position, batch, (at, record, effective) -> {});
      check(stream.stateMachine(), model);
      offset++;
      nowMillis += spec.elapsedMillis();
      boolean repeated = spec.detail() == 6;
      if (!repeated) {
        LedgerRecord record = record(spec, stream.stateMachine(), nowMillis);
        batch = RecordBatch.of("writer", batch.sequence() + 1, List.of(record));
      }
    }
    assertEquals(stream.stateMachine().digest(), replica.stateMachine().digest());
  }

  private static void applyToModel(CellModel model, LedgerRecord record, boolean effective) {
    if (effective) {
      model.recordEffect(record);
    }
  }

  private static void check(CellLedger ledger, CellModel model) {
    for (WorkerState worker : ledger.workers()) {
      assertEquals(model.used(worker.registered().worker()), worker.used().cpuMillis());
      assertTrue(worker.used().fitsIn(worker.total()));
    }
    for (JobState job : ledger.jobs()) {
      boolean placed = job.phase() == JobPhase.PLACED;
      assertEquals(placed, model.isLive(job.accepted().job()));
      assertEquals(placed, ledger.placedJobs().contains(job));
      assertEquals(job.phase() == JobPhase.ACCEPTED, ledger.waitingJobs().contains(job));
    }
  }

  /** Creates a record that is current most of the time, and stale or invalid otherwise. */
  private static LedgerRecord record(RecordSpec spec, CellLedger ledger, long nowMillis) {
    String job = "job-" + spec.job();
    String entry = "entry-" + spec.worker();
    long current = ledger.ownership().epoch();
    long epoch = spec.detail() == 5 ? current - 1 : current;
    String owner = ledger.ownership().owner().orElse(entry);
    int known = ledger.job(job).map(JobState::attempt).orElse(0);
    int attempt = spec.detail() == 4 ? known - 1 : known;
    return switch (spec.kind()) {
      case 0 -> new CellClaimed("cell", entry, epoch + 1, LEASE_MILLIS);
      case 1 -> new CellRenewed("cell", owner, epoch, LEASE_MILLIS);
      case 2 ->
          spec.detail() > 3
              ? new CellReleased("cell", owner, epoch)
              : new CellRenewed("cell", owner, epoch, LEASE_MILLIS);
      case 3, 4 -> job(job, 500 + 700 * spec.detail());
      case 5 ->
          spec.detail() > 3
              ? new JobCancelled(job, "workspace")
              : new JobRefused(job, "cell", epoch);
      case 6, 7, 8 ->
          new TaskPlaced(
              job,
              attempt + 1,
              "worker-" + spec.worker(),
              "cell",
              epoch,
              nowMillis + 500L * spec.detail());
      case 9 -> new AttemptExtended(job, attempt, "cell", epoch, nowMillis + 2000);
      case 10 -> new AttemptEnded(job, attempt, "cell", epoch, EndReason.DONE, "");
      default -> new AttemptEnded(job, attempt, "cell", epoch, spec.reason(), "checkpoint");
    };
  }

  private static JobAccepted job(String id, int cpuMillis) {
    return new JobAccepted(id, "workspace", "class", cpuMillis, 100, 0, 1000, false, "");
  }

  private static WorkerRegistered worker(String id, int cpuMillis) {
    return new WorkerRegistered(id, id, "cell", "rack", cpuMillis, 100_000, 0);
  }

  private static LedgerRecord enlarged(LedgerRecord record) {
    return record instanceof WorkerRegistered registered
        ? worker(registered.worker(), 2 * CPU_MILLIS)
        : record;
  }
}
