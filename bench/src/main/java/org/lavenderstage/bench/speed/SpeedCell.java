package org.lavenderstage.bench.speed;

import java.util.ArrayList;
import java.util.List;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.TaskUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;

/** A cell with a given number of workers and running tasks, for benchmarks. */
final class SpeedCell {
  static final int TASKS_PER_WORKER = 10;

  private static final long HORIZON_MILLIS = Long.MAX_VALUE / 4;
  private static final int WORKSPACES = 20;
  private static final int CLASSES = 6;
  private static final int SERVICES = 3;
  private static final int WORKERS_PER_RACK = 8;
  private static final int TRAINING_REPORTS = 1_800;

  final CellLedger ledger = new CellLedger(0);
  final AdaptivePlanner planner;
  private final int workers;
  private long offset;
  private int jobs;

  SpeedCell(int workers) {
    this.workers = workers;
    this.planner = new AdaptivePlanner(ProtectionPolicy.GRADED, Integer.MAX_VALUE);
    apply(new CellClaimed("cell", "owner", 1, HORIZON_MILLIS));
    for (int w = 0; w < workers; w++) {
      apply(
          new WorkerRegistered(
              worker(w), "", "cell", "rack-" + w / WORKERS_PER_RACK, 32_000, 125_000, 0));
      planner.observeUsage(report(w, 0));
    }
    for (int i = 0; i < TRAINING_REPORTS; i++) {
      planner.observeUsage(report(i % workers, i));
    }
  }

  /**
   * Creates a report of one class that interferes with no service, so that the planner may place
   * every class on any worker.
   */
  private static UsageReport report(int worker, int reportIndex) {
    int cpuMillis = 4000 * (reportIndex / SERVICES / CLASSES % 4);
    return new UsageReport(
        worker(worker),
        0,
        10_000,
        List.of(new ServiceUsage("service-" + worker % SERVICES, 20_000, 0.5)),
        List.of(
            new TaskUsage("", 1, "class-" + reportIndex / SERVICES % CLASSES, cpuMillis, false)));
  }

  void apply(LedgerRecord record) {
    ledger.apply(new RecordPosition(offset++, 0), record);
  }

  private static String worker(int index) {
    return String.format("worker-%04d", index);
  }

  /** Accepts jobs without placing them. */
  void accept(int count) {
    for (int i = 0; i < count; i++) {
      apply(job(jobs++));
    }
  }

  private static JobAccepted job(int index) {
    return new JobAccepted(
        String.format("job-%08d", index),
        "workspace-" + index % WORKSPACES,
        "class-" + index % CLASSES,
        1000 + index % 7 * 200,
        4000,
        0,
        60_000,
        false,
        "");
  }

  /** Accepts and places tasks that keep running. */
  void fill(int count) {
    for (int i = 0; i < count; i++) {
      JobAccepted job = job(jobs++);
      apply(job);
      apply(new TaskPlaced(job.job(), 1, worker(i % workers), "cell", 1, HORIZON_MILLIS));
    }
  }

  /** Returns the records of complete jobs: accepted, placed, done. */
  List<LedgerRecord> jobLifecycles(int count) {
    List<LedgerRecord> records = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      JobAccepted job = job(jobs++);
      records.add(job);
      records.add(new TaskPlaced(job.job(), 1, worker(i % workers), "cell", 1, HORIZON_MILLIS));
      records.add(new AttemptEnded(job.job(), 1, "cell", 1, EndReason.DONE, ""));
    }
    return records;
  }
}
