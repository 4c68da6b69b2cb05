package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;
import org.lavenderstage.core.sheet.BatchClassRow;
import org.lavenderstage.core.sheet.Sheet;

/**
 * The state of a cell as seen by one plan. It starts from the ledger and is updated with each
 * planned action. Workers are held in an array so that they can be scanned quickly.
 */
final class CellView {
  private static final int DEFAULT_RANK = 5;

  final WorkerView[] workerViews;
  final Map<String, WorkerView> workerViewsById = new HashMap<>();
  final List<TaskView> waiting = new ArrayList<>();
  final FairShares shares;
  final PairTable pairs;
  final WatcherSpread watcherSpread = new WatcherSpread();
  private final Sheet sheet;
  private final int[] rankByClass;

  CellView(CellLedger ledger, Sheet sheet, PairTable pairs, PlannerState plannerState) {
    this.sheet = sheet;
    this.pairs = pairs;
    List<JobState> liveJobs = new ArrayList<>(ledger.placedJobs());
    liveJobs.addAll(ledger.waitingJobs());
    liveJobs.forEach(job -> pairs.classIndex(job.accepted().batchClass()));
    workerViews = workerViews(ledger, plannerState);
    pairs.refresh();
    shares = shares();
    rankByClass = new int[pairs.classCount()];
    addTasks(liveJobs, plannerState);
  }

  private WorkerView[] workerViews(CellLedger ledger, PlannerState plannerState) {
    WorkerView[] views = new WorkerView[ledger.workers().size()];
    int count = 0;
    for (WorkerState worker : ledger.workers()) {
      String id = worker.registered().worker();
      int[] services = plannerState.services(id).stream().mapToInt(pairs::serviceIndex).toArray();
      WorkerView workerView =
          new WorkerView(worker, services, plannerState.health().isQuarantined(id));
      views[count++] = workerView;
      workerViewsById.put(id, workerView);
    }
    return views;
  }

  private FairShares shares() {
    long cpu = 0;
    long memory = 0;
    for (WorkerView workerView : workerViews) {
      cpu += workerView.state.total().cpuMillis();
      memory += workerView.state.total().memoryMb();
    }
    return new FairShares(sheet, cpu, memory);
  }

  private void addTasks(List<JobState> liveJobs, PlannerState plannerState) {
    for (JobState job : liveJobs) {
      int batchClass = pairs.classIndex(job.accepted().batchClass());
      TaskView task = new TaskView(job, batchClass, rank(batchClass, job));
      if (job.phase() == JobPhase.ACCEPTED) {
        waiting.add(task);
        continue;
      }
      shares.addUsage(task.workspace, task.demand);
      WorkerView workerView = workerViewsById.get(job.worker());
      if (workerView == null) {
        continue;
      }
      task.throttled = plannerState.isThrottled(task);
      task.evicting = plannerState.isEvicting(task) || job.cancelRequested();
      workerView.tasks.add(task);
      if (task.isWatcher()) {
        watcherSpread.add(workerView, task);
      }
      if (!task.evicting) {
        pairs.add(workerView, task);
      }
    }
  }

  /** Returns the rank of a job. The cache holds the rank plus 1, so that 0 means not cached. */
  private int rank(int batchClass, JobState job) {
    if (rankByClass[batchClass] == 0) {
      rankByClass[batchClass] = rankFromSheet(job) + 1;
    }
    return rankByClass[batchClass] - 1;
  }

  private int rankFromSheet(JobState job) {
    return sheet
        .batchClass(job.accepted().batchClass())
        .map(BatchClassRow::rank)
        .orElse(DEFAULT_RANK);
  }

  void place(WorkerView workerView, TaskView task) {
    workerView.allocate(task.demand);
    workerView.tasks.add(task);
    shares.addUsage(task.workspace, task.demand);
    pairs.add(workerView, task);
    if (task.isWatcher()) {
      watcherSpread.add(workerView, task);
    }
  }
}
