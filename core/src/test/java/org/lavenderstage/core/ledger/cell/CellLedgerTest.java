package org.lavenderstage.core.ledger.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.JobRefused;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;

class CellLedgerTest {
  private static final long LEASE_MILLIS = 1000;
  private static final long HORIZON_MILLIS = 10_000;

  private final CellLedger ledger = new CellLedger(10);
  private long offset;

  @BeforeEach
  void claimCellAndRegisterWorker() {
    assertTrue(apply(0, new CellClaimed("cell", "entry-a", 1, LEASE_MILLIS)));
    assertTrue(apply(0, new WorkerRegistered("worker", "address", "cell", "rack", 4000, 8000, 0)));
  }

  @Test
  void rejectsClaimWhileLeaseIsValid() {
    assertFalse(apply(LEASE_MILLIS, new CellClaimed("cell", "entry-b", 2, LEASE_MILLIS)));
    assertTrue(apply(LEASE_MILLIS + 1, new CellClaimed("cell", "entry-b", 2, LEASE_MILLIS)));
  }

  @Test
  void rejectsPlacementByPreviousOwner() {
    apply(1, job("job", 1000));
    apply(LEASE_MILLIS + 1, new CellClaimed("cell", "entry-b", 2, LEASE_MILLIS));
    assertFalse(apply(LEASE_MILLIS + 2, placement("job", 1, 1)));
    assertTrue(apply(LEASE_MILLIS + 3, placement("job", 1, 2)));
  }

  @Test
  void rejectsPlacementThatOvercommitsWorker() {
    apply(1, job("first", 3000));
    apply(1, job("second", 2000));
    assertTrue(apply(2, placement("first", 1, 1)));
    assertFalse(apply(2, placement("second", 1, 1)));
    assertEquals(new Resources(1000, 7000, 0), ledger.worker("worker").orElseThrow().free());
  }

  @Test
  void rejectsSecondPlacementOfRunningJob() {
    apply(1, job("job", 1000));
    assertTrue(apply(2, placement("job", 1, 1)));
    assertFalse(apply(3, placement("job", 1, 1)));
    assertFalse(apply(3, placement("job", 2, 1)));
  }

  @Test
  void acceptsHorizonPassedOnlyAfterTaskHorizon() {
    apply(1, job("job", 1000));
    apply(2, placement("job", 1, 1));
    apply(LEASE_MILLIS + 1, new CellClaimed("cell", "entry-b", 2, HORIZON_MILLIS * 2));
    AttemptEnded ended = new AttemptEnded("job", 1, "cell", 2, EndReason.HORIZON_PASSED, "");
    assertFalse(apply(HORIZON_MILLIS + 10, ended));
    assertTrue(apply(HORIZON_MILLIS + 11, ended));
  }

  @Test
  void acceptsLeaseLapsedOnlyFromOwnerThatPlacedAttempt() {
    apply(1, job("job", 1000));
    apply(2, placement("job", 1, 1));
    apply(LEASE_MILLIS + 1, new CellClaimed("cell", "entry-b", 2, HORIZON_MILLIS));
    apply(LEASE_MILLIS + 2, new AttemptExtended("job", 1, "cell", 2, HORIZON_MILLIS + 1));
    assertFalse(apply(LEASE_MILLIS + 3, end(EndReason.LEASE_LAPSED, 2)));
  }

  /** Until then, a start command of the previous owner may still reach the worker. */
  @Test
  void acceptsNotFoundOnlyAfterPreviousLeaseHasExpired() {
    apply(1, job("job", 1000));
    apply(2, placement("job", 1, 1));
    apply(3, new CellReleased("cell", "entry-a", 1));
    apply(4, new CellClaimed("cell", "entry-b", 2, HORIZON_MILLIS));
    assertFalse(apply(LEASE_MILLIS + 10, end(EndReason.NOT_FOUND, 2)));
    assertTrue(apply(LEASE_MILLIS + 11, end(EndReason.NOT_FOUND, 2)));
  }

  @Test
  void refusesJobOnlyWhereNoWorkerIsLargeEnough() {
    apply(1, job("small", 4000));
    apply(1, job("large", 4001));
    assertFalse(apply(2, new JobRefused("small", "cell", 1)));
    assertTrue(apply(2, new JobRefused("large", "cell", 1)));
    assertEquals(JobPhase.FAILED, ledger.job("large").orElseThrow().phase());
  }

  @Test
  void removesEndedJobAfterRetention() {
    apply(1, job("job", 1000));
    apply(2, new JobCancelled("job", "workspace"));
    apply(2 + CellLedger.DEFAULT_RETENTION_MILLIS, job("next", 1000));
    assertTrue(ledger.job("job").isPresent());
    apply(3 + CellLedger.DEFAULT_RETENTION_MILLIS, job("last", 1000));
    assertFalse(ledger.job("job").isPresent());
  }

  private static AttemptEnded end(EndReason reason, long epoch) {
    return new AttemptEnded("job", 1, "cell", epoch, reason, "");
  }

  private boolean apply(long timeMillis, LedgerRecord record) {
    return ledger.apply(new RecordPosition(offset++, timeMillis), record);
  }

  private static JobAccepted job(String id, int cpuMillis) {
    return new JobAccepted(id, "workspace", "class", cpuMillis, 1000, 0, 1000, false, "");
  }

  private static TaskPlaced placement(String job, int attempt, long epoch) {
    return new TaskPlaced(job, attempt, "worker", "cell", epoch, HORIZON_MILLIS);
  }
}
