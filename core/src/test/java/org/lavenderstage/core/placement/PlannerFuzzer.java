package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.TaskUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.core.sheet.BatchClassRow;
import org.lavenderstage.core.sheet.PairRow;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;

/** Drives a planner with random events, and checks every plan against independent bookkeeping. */
final class PlannerFuzzer {
  static final int MAX_EVENT = 10_000;

  private static final int WORKERS = 4;
  private static final String FAULTY_WORKER = "worker-3";
  private static final int WINDOW_EVICTIONS = 6;
  private static final long WINDOW_MILLIS = 60_000;
  private static final long PROBE_MILLIS = 450_000;
  private static final Resources QUOTA = new Resources(6000, 100_000, 1);
  private static final Sheet SHEET =
      new Sheet(
          List.of(new WorkspaceRow("workspace-0", 0, 1, QUOTA, "")),
          List.of(),
          List.of(new BatchClassRow("class-0", 0, 1), new BatchClassRow("class-1", 2, 1)),
          List.of(new PairRow("service-1", "class-2", PairRow.Rule.APART)));

  private final PlannerUnderTest planner;
  private final CellLedger ledger = new CellLedger(0);
  private final List<String> jobs = new ArrayList<>();
  private final Map<String, List<Long>> evictions = new HashMap<>();
  private final Set<String> failedOnFaultyWorker = new HashSet<>();
  private final List<List<PlannedAction>> plans = new ArrayList<>();
  private long lastProbeMillis = Long.MIN_VALUE / 2;
  private boolean faultyWorkerDetectable;
  private boolean probedSinceDetectable;
  private long nowMillis;
  private long offset;

  PlannerFuzzer(PlannerUnderTest planner) {
    this.planner = planner;
    planner.setSheet(SHEET);
    apply(new CellClaimed("cell", "owner", 1, Long.MAX_VALUE / 4));
    for (int w = 0; w < WORKERS; w++) {
      apply(new WorkerRegistered("worker-" + w, "", "cell", "rack-" + w / 2, 8000, 16_000, w % 2));
      report(w);
    }
  }

  private boolean apply(LedgerRecord record) {
    return ledger.apply(new RecordPosition(offset++, nowMillis), record);
  }

  /**
   * Runs a list of events and returns the plans. The remainder of an event modulo 8 selects its
   * kind, and the quotient its arguments.
   */
  List<List<PlannedAction>> run(List<Integer> events) {
    for (int event : events) {
      int value = event / 8;
      switch (event % 8) {
        case 0, 1, 2 -> submit(value);
        case 3 -> report(value % WORKERS);
        case 4 -> endOne(value);
        case 5 -> cancelOne(value);
        default -> plan(value);
      }
    }
    return plans;
  }

  private void submit(int value) {
    String job = "job-" + jobs.size();
    jobs.add(job);
    apply(
        new JobAccepted(
            job,
            "workspace-" + value % 3,
            "class-" + value / 3 % 4,
            500 * (1 + value / 12 % 5),
            1000,
            value % 11 == 0 ? 1 : 0,
            60_000,
            value % 7 == 0,
            ""));
  }

  /** Reports the usage of a worker. Only class-1 increases the latency of services. */
  private void report(int worker) {
    String id = "worker-" + worker;
    List<TaskUsage> tasks = new ArrayList<>();
    double cores = 0;
    for (JobState job : running()) {
      if (job.worker().equals(id)) {
        String batchClass = job.accepted().batchClass();
        tasks.add(
            new TaskUsage(
                job.accepted().job(), job.attempt(), batchClass, job.demand().cpuMillis(), false));
        cores += batchClass.equals("class-1") ? job.demand().cpuMillis() / 1000.0 : 0;
      }
    }
    List<ServiceUsage> services =
        List.of(new ServiceUsage("service-" + worker % 2, 20_000 * (1 + 0.2 * cores), 0.5));
    planner.deliverReport(new UsageReport(id, nowMillis - 10_000, nowMillis, services, tasks));
  }

  private List<JobState> running() {
    return ledger.jobs().stream().filter(job -> job.phase() == JobPhase.PLACED).toList();
  }

  private void endOne(int value) {
    List<JobState> running = running();
    if (!running.isEmpty()) {
      JobState job = running.get(value % running.size());
      boolean isFaulty = job.worker().equals(FAULTY_WORKER);
      end(job, isFaulty ? EndReason.FAILED : EndReason.DONE);
    }
  }

  private void end(JobState job, EndReason reason) {
    String id = job.accepted().job();
    apply(new AttemptEnded(id, job.attempt(), "cell", 1, reason, ""));
    planner.attemptEnded(id, job.worker(), reason);
    if (reason == EndReason.FAILED) {
      failedOnFaultyWorker.add(id);
      faultyWorkerDetectable = failedOnFaultyWorker.size() >= 3;
    }
  }

  private void cancelOne(int value) {
    if (!jobs.isEmpty()) {
      String job = jobs.get(value % jobs.size());
      ledger
          .job(job)
          .ifPresent(state -> apply(new JobCancelled(job, state.accepted().workspace())));
    }
  }

  private void plan(int value) {
    nowMillis += 500 + value * 20L;
    List<PlannedAction> actions = planner.plan(ledger, nowMillis);
    plans.add(actions);
    for (PlannedAction action : actions) {
      switch (action) {
        case PlannedAction.Place place -> place(place);
        case PlannedAction.Evict evict -> evict(evict);
        case PlannedAction.Throttle throttle -> checkIsRunning(throttle.job());
        case PlannedAction.Unthrottle unthrottle -> checkIsRunning(unthrottle.job());
      }
    }
  }

  private void place(PlannedAction.Place place) {
    JobState job = ledger.job(place.job()).orElseThrow();
    boolean isApart =
        job.accepted().batchClass().equals("class-2")
            && List.of("worker-1", "worker-3").contains(place.worker());
    check(!isApart, "apart rule violated by " + place);
    check(!job.failedOn().contains(place.worker()), "placed on a worker where it failed: " + place);
    if (place.worker().equals(FAULTY_WORKER)) {
      boolean isProbe = nowMillis - lastProbeMillis >= PROBE_MILLIS;
      check(
          !faultyWorkerDetectable || isProbe || !probedSinceDetectable,
          "quarantine violated by " + place);
      probedSinceDetectable = faultyWorkerDetectable;
      lastProbeMillis = faultyWorkerDetectable ? nowMillis : lastProbeMillis;
    }
    boolean placed =
        apply(
            new TaskPlaced(
                place.job(), job.attempt() + 1, place.worker(), "cell", 1, Long.MAX_VALUE / 4));
    check(placed, "no free capacity for " + place);
    Resources used = Resources.NONE;
    for (JobState running : running()) {
      boolean hasQuota = running.accepted().workspace().equals("workspace-0");
      used = hasQuota ? used.plus(running.demand()) : used;
    }
    check(used.fitsIn(QUOTA), "quota exceeded by " + place);
  }

  private void evict(PlannedAction.Evict evict) {
    JobState job = checkIsRunning(evict.job());
    List<Long> times =
        evictions.computeIfAbsent(job.accepted().workspace(), key -> new ArrayList<>());
    times.add(nowMillis);
    long recent = times.stream().filter(at -> nowMillis - at < WINDOW_MILLIS).count();
    check(
        recent <= 2 * WINDOW_EVICTIONS,
        "too many evictions in the last window of " + job.accepted().workspace());
    long inThisPlan = times.stream().filter(at -> at == nowMillis).count();
    check(inThisPlan <= WINDOW_EVICTIONS, "too many evictions in one plan");
    end(job, EndReason.CHECKPOINTED);
  }

  private JobState checkIsRunning(String job) {
    Optional<JobState> state = ledger.job(job).filter(s -> s.phase() == JobPhase.PLACED);
    check(state.isPresent(), "expected a running job: " + job);
    return state.orElseThrow();
  }

  private static void check(boolean holds, String message) {
    if (!holds) {
      throw new AssertionError(message);
    }
  }
}
