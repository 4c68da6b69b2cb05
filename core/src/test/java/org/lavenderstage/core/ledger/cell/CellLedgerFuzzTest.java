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

/** Random records of several owners, current, stale and doubled, against a plain account. */
class CellLedgerFuzzTest {
  private static final int STEPS = 250;
  private static final int CPU_MILLIS = 4000;
  private static final int JOBS = 12;
  private static final int WORKERS = 3;
  private static final long LEASE_MILLIS = 1000;
  private static final long SKEW_MILLIS = 10;

  /** Numbers from which one record is made. */
  record Draw(int kind, int job, int worker, int detail, EndReason reason, int passedMillis) {}

  @Property(seed = "1", tries = 300)
  void noSequenceOfRecordsBreaksAPromise(@ForAll("sequences") List<Draw> sequence) {
    run(sequence, UnaryOperator.identity());
  }

  @Property(tries = 300)
  @Tag("fresh")
  void noFreshSequenceOfRecordsBreaksAPromise(@ForAll("sequences") List<Draw> sequence) {
    run(sequence, UnaryOperator.identity());
  }

  @Test
  void aFoldThatBelievesInLargerWorkersIsCaught() {
    List<Draw> sequence = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      sequence.add(new Draw(3, job, 0, 1, EndReason.DONE, 0));
      sequence.add(new Draw(6, job, 0, 1, EndReason.DONE, 0));
    }
    assertThrows(AssertionError.class, () -> run(sequence, CellLedgerFuzzTest::enlarged));
  }

  @Provide
  Arbitrary<List<Draw>> sequences() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 13),
            Arbitraries.integers().between(0, JOBS - 1),
            Arbitraries.integers().between(0, WORKERS - 1),
            Arbitraries.integers().between(0, 6),
            Arbitraries.of(EndReason.class),
            Arbitraries.integers().between(0, 120))
        .as(Draw::new)
        .list()
        .ofSize(STEPS);
  }

  private static void run(List<Draw> sequence, UnaryOperator<LedgerRecord> broken) {
    LedgerStream<CellLedger> stream = new LedgerStream<>(new CellLedger(SKEW_MILLIS));
    LedgerStream<CellLedger> twin = new LedgerStream<>(new CellLedger(SKEW_MILLIS));
    CellModel model = new CellModel(CPU_MILLIS);
    List<LedgerRecord> first = new ArrayList<>();
    first.add(new CellClaimed("cell", "entry-0", 1, LEASE_MILLIS));
    for (int i = 0; i < WORKERS; i++) {
      first.add(worker("worker-" + i, CPU_MILLIS));
    }
    long nowMillis = 1;
    long offset = 0;
    RecordBatch batch = RecordBatch.of("writer", 1, first.stream().map(broken).toList());
    for (Draw draw : sequence) {
      RecordPosition position = new RecordPosition(offset, nowMillis);
      stream.apply(position, batch, (at, record, effective) -> account(model, record, effective));
      twin.apply(position, batch, (at, record, effective) -> {});
      check(stream.fold(), model);
      offset++;
      nowMillis += draw.passedMillis();
      boolean doubled = draw.detail() == 6;
      if (!doubled) {
        LedgerRecord record = record(draw, stream.fold(), nowMillis);
        batch = RecordBatch.of("writer", batch.sequence() + 1, List.of(record));
      }
    }
    assertEquals(stream.fold().digest(), twin.fold().digest());
  }

  private static void account(CellModel model, LedgerRecord record, boolean effective) {
    if (effective) {
      model.took(record);
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

  /** Makes a record that is current most of the time, and stale or wrong otherwise. */
  private static LedgerRecord record(Draw draw, CellLedger ledger, long nowMillis) {
    String job = "job-" + draw.job();
    String entry = "entry-" + draw.worker();
    long current = ledger.ownership().epoch();
    long epoch = draw.detail() == 5 ? current - 1 : current;
    String owner = ledger.ownership().owner().orElse(entry);
    int known = ledger.job(job).map(JobState::attempt).orElse(0);
    int attempt = draw.detail() == 4 ? known - 1 : known;
    return switch (draw.kind()) {
      case 0 -> new CellClaimed("cell", entry, epoch + 1, LEASE_MILLIS);
      case 1 -> new CellRenewed("cell", owner, epoch, LEASE_MILLIS);
      case 2 ->
          draw.detail() > 3
              ? new CellReleased("cell", owner, epoch)
              : new CellRenewed("cell", owner, epoch, LEASE_MILLIS);
      case 3, 4 -> job(job, 500 + 700 * draw.detail());
      case 5 ->
          draw.detail() > 3
              ? new JobCancelled(job, "workspace")
              : new JobRefused(job, "cell", epoch);
      case 6, 7, 8 ->
          new TaskPlaced(
              job,
              attempt + 1,
              "worker-" + draw.worker(),
              "cell",
              epoch,
              nowMillis + 500L * draw.detail());
      case 9 -> new AttemptExtended(job, attempt, "cell", epoch, nowMillis + 2000);
      case 10 -> new AttemptEnded(job, attempt, "cell", epoch, EndReason.DONE, "");
      default -> new AttemptEnded(job, attempt, "cell", epoch, draw.reason(), "checkpoint");
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
