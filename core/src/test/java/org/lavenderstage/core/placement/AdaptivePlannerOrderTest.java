package org.lavenderstage.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.TaskUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.core.sheet.BatchClassRow;
import org.lavenderstage.core.sheet.PairRow;
import org.lavenderstage.core.sheet.Sheet;

class AdaptivePlannerOrderTest {
  private static final long HORIZON_MILLIS = Long.MAX_VALUE / 4;
  private static final Sheet SHEET =
      new Sheet(
          List.of(),
          List.of(),
          List.of(
              new BatchClassRow("urgent", 0, 1),
              new BatchClassRow("high", 1, 1),
              new BatchClassRow("low", 2, 1)),
          List.of(new PairRow("service", "low", PairRow.Rule.THROTTLE)));

  private final CellLedger ledger = new CellLedger(0);
  private final AdaptivePlanner planner = new AdaptivePlanner(ProtectionPolicy.GRADED, 100);
  private long offset;

  @BeforeEach
  void claimTheCell() {
    planner.useSheet(SHEET);
    apply(new CellClaimed("cell", "owner", 1, HORIZON_MILLIS));
  }

  @Test
  void aHigherRankIsPlacedFirst() {
    worker("worker", "rack", 2000);
    job("a", "one", "low", 2000, false);
    job("b", "one", "high", 2000, false);
    assertEquals(List.of(new PlannedAction.Place("b", "worker")), planner.plan(ledger, 0));
  }

  @Test
  void workspacesOfEqualShareGetEqualResources() {
    worker("worker", "rack", 8000);
    for (int i = 0; i < 20; i++) {
      job("a" + i, "flooding", "low", 1000, false);
    }
    for (int i = 0; i < 4; i++) {
      job("b" + i, "other", "low", 1000, false);
    }
    Map<String, Integer> placed = new HashMap<>();
    planner
        .plan(ledger, 0)
        .forEach(action -> placed.merge(action.job().substring(0, 1), 1, Integer::sum));
    assertEquals(Map.of("a", 4, "b", 4), placed);
  }

  @Test
  void anUrgentTaskGetsTheResourcesThatAreFreedForIt() {
    worker("worker", "rack", 2000);
    job("batch", "one", "low", 2000, false);
    assertEquals(List.of(new PlannedAction.Place("batch", "worker")), placeAll(0));
    job("urgent", "two", "urgent", 1000, false);
    job("high", "three", "high", 1000, false);
    assertEquals(List.of(new PlannedAction.Evict("batch")), planner.plan(ledger, 1000));
    assertEquals(List.of(), planner.plan(ledger, 1500));
    apply(new AttemptEnded("batch", 1, "cell", 1, EndReason.CHECKPOINTED, "kept"));
    planner.attemptEnded("batch", "worker", EndReason.CHECKPOINTED);
    List<PlannedAction> actions = planner.plan(ledger, 2000);
    assertEquals(new PlannedAction.Place("urgent", "worker"), actions.get(0));
  }

  @Test
  void watchersOfOneWorkloadAreSpreadOverRacks() {
    worker("worker-1", "rack-1", 8000);
    worker("worker-2", "rack-1", 8000);
    worker("worker-3", "rack-2", 8000);
    job("a", "one", "low", 1000, true);
    job("b", "one", "low", 1000, true);
    Set<String> racks = new HashSet<>();
    for (PlannedAction action : placeAll(0)) {
      String worker = ledger.job(action.job()).orElseThrow().worker();
      racks.add(ledger.worker(worker).orElseThrow().registered().rack());
    }
    assertEquals(Set.of("rack-1", "rack-2"), racks);
  }

  @Test
  void aThrottleRuleThrottlesTasksOnWorkersOfItsService() {
    worker("worker", "rack", 8000);
    job("a", "one", "low", 100, false);
    placeAll(0);
    report("worker", 20_000);
    assertTrue(planner.plan(ledger, 1000).contains(new PlannedAction.Throttle("a")));
    assertEquals(List.of(), planner.plan(ledger, 2000));
  }

  @Test
  void onlyAFewCoresOfAnUnknownClassArePlacedAtFirst() {
    worker("worker", "rack", 32_000);
    report("worker", 20_000);
    for (int i = 0; i < 30; i++) {
      job("job" + i, "one", "high", 1000, false);
    }
    int placed = placeAll(1000).size();
    assertTrue(placed >= 2 && placed <= 12, placed + " cores placed on the worker of the service");
  }

  @Test
  void aTaskThrottledByAPreviousOwnerIsUnthrottled() {
    worker("worker", "rack", 8000);
    job("a", "one", "high", 1000, false);
    placeAll(0);
    ServiceUsage service = new ServiceUsage("other", 20_000, 0.5);
    TaskUsage throttled = new TaskUsage("a", 1, "high", 250, true);
    planner.observeUsage(
        new UsageReport("worker", 0, 10_000, List.of(service), List.of(throttled)));
    assertEquals(List.of(), planner.plan(ledger, 20_000));
    assertEquals(List.of(new PlannedAction.Unthrottle("a")), planner.plan(ledger, 30_000));
    planner.observeUsage(new UsageReport("worker", 10_000, 20_000, List.of(), List.of(throttled)));
    assertEquals(List.of(), planner.plan(ledger, 60_000));
    planner.observeUsage(
        new UsageReport("worker", 50_000, 60_000, List.of(service), List.of(throttled)));
    assertEquals(List.of(new PlannedAction.Unthrottle("a")), planner.plan(ledger, 80_000));
  }

  @Test
  void aFailedJobIsRetriedOnAnotherWorkerEvenIfNoWorkerIsProven() {
    worker("worker-1", "rack", 1000);
    worker("worker-2", "rack", 1000);
    job("a", "one", "low", 1000, false);
    placeAll(0);
    String first = fail("a");
    placeAll(1000);
    assertNotEquals(first, ledger.job("a").orElseThrow().worker());
  }

  @Test
  void aCellOfQuarantinedWorkersIsProbedWithJobsThatFailedOnce() {
    worker("worker-1", "rack", 3000);
    for (String id : List.of("a", "b", "c")) {
      job(id, "one", "low", 1000, false);
    }
    placeAll(0);
    List.of("a", "b", "c").forEach(this::fail);
    worker("worker-2", "rack", 3000);
    planner.attemptEnded("x", "worker-2", EndReason.FAILED);
    planner.attemptEnded("y", "worker-2", EndReason.FAILED);
    planner.attemptEnded("z", "worker-2", EndReason.FAILED);
    assertEquals(List.of(new PlannedAction.Place("a", "worker-2")), planner.plan(ledger, 1000));
    assertEquals(List.of(), planner.plan(ledger, 2000));
  }

  private String fail(String job) {
    String worker = ledger.job(job).orElseThrow().worker();
    apply(new AttemptEnded(job, 1, "cell", 1, EndReason.FAILED, ""));
    planner.attemptEnded(job, worker, EndReason.FAILED);
    return worker;
  }

  private void report(String worker, double latencyMicros) {
    ServiceUsage service = new ServiceUsage("service", latencyMicros, 0.5);
    planner.observeUsage(new UsageReport(worker, 0, 10_000, List.of(service), List.of()));
  }

  private List<PlannedAction> placeAll(long nowMillis) {
    List<PlannedAction> actions = planner.plan(ledger, nowMillis);
    for (PlannedAction action : actions) {
      if (action instanceof PlannedAction.Place place) {
        int attempt = ledger.job(place.job()).orElseThrow().attempt() + 1;
        apply(new TaskPlaced(place.job(), attempt, place.worker(), "cell", 1, HORIZON_MILLIS));
      }
    }
    return actions;
  }

  private void worker(String id, String rack, int cpuMillis) {
    apply(new WorkerRegistered(id, "", "cell", rack, cpuMillis, 100_000, 0));
  }

  private void job(String id, String workspace, String batchClass, int cpuMillis, boolean watcher) {
    apply(new JobAccepted(id, workspace, batchClass, cpuMillis, 100, 0, 60_000, watcher, ""));
  }

  private void apply(LedgerRecord record) {
    assertTrue(ledger.apply(new RecordPosition(offset++, 0), record));
  }
}
