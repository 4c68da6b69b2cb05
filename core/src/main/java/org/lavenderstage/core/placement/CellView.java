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

/** The cell at the time of one plan, in plain arrays. */
final class CellView {
  private static final int DEFAULT_RANK = 5;

  final WorkerSlot[] slots;
  final Map<String, WorkerSlot> slotByWorker = new HashMap<>();
  final List<TaskView> waiting = new ArrayList<>();
  final FairShares shares;
  final PairTable pairs;
  final WatcherSpread spread = new WatcherSpread();
  private final Sheet sheet;
  private final int[] rankByClass;

  CellView(CellLedger ledger, Sheet sheet, PairTable pairs, PlannerMemory memory) {
    this.sheet = sheet;
    this.pairs = pairs;
    List<JobState> live = new ArrayList<>();
    for (JobState job : ledger.jobs()) {
      if (!job.phase().isFinal()) {
        live.add(job);
        pairs.classIndex(job.accepted().batchClass());
      }
    }
    slots = slots(ledger, memory);
    pairs.refresh();
    shares = shares();
    rankByClass = new int[pairs.classCount()];
    addTasks(live, memory);
  }

  private WorkerSlot[] slots(CellLedger ledger, PlannerMemory memory) {
    WorkerSlot[] found = new WorkerSlot[ledger.workers().size()];
    int count = 0;
    for (WorkerState worker : ledger.workers()) {
      String id = worker.registered().worker();
      int[] services = memory.services(id).stream().mapToInt(pairs::serviceIndex).toArray();
      WorkerSlot slot = new WorkerSlot(worker, services, memory.health().isQuarantined(id));
      found[count++] = slot;
      slotByWorker.put(id, slot);
    }
    return found;
  }

  private FairShares shares() {
    long cpu = 0;
    long memory = 0;
    for (WorkerSlot slot : slots) {
      cpu += slot.state.total().cpuMillis();
      memory += slot.state.total().memoryMb();
    }
    return new FairShares(sheet, cpu, memory);
  }

  private void addTasks(List<JobState> live, PlannerMemory memory) {
    for (JobState job : live) {
      int batchClass = pairs.classIndex(job.accepted().batchClass());
      TaskView task = new TaskView(job, batchClass, rank(batchClass, job));
      if (job.phase() == JobPhase.ACCEPTED) {
        waiting.add(task);
        continue;
      }
      shares.hold(task.workspace, task.demand);
      WorkerSlot slot = slotByWorker.get(job.worker());
      if (slot == null) {
        continue;
      }
      task.throttled = memory.isThrottled(task);
      task.evicting = memory.isEvicting(task) || job.cancelRequested();
      slot.tasks.add(task);
      if (task.isWatcher()) {
        spread.add(slot, task);
      }
      if (!task.evicting) {
        pairs.add(slot, task);
      }
    }
  }

  /** Ranks are kept by class, one more than the rank, so that 0 is unknown. */
  private int rank(int batchClass, JobState job) {
    if (rankByClass[batchClass] == 0) {
      rankByClass[batchClass] = readRank(job) + 1;
    }
    return rankByClass[batchClass] - 1;
  }

  private int readRank(JobState job) {
    return sheet
        .batchClass(job.accepted().batchClass())
        .map(BatchClassRow::rank)
        .orElse(DEFAULT_RANK);
  }

  void place(WorkerSlot slot, TaskView task) {
    slot.take(task.demand);
    slot.tasks.add(task);
    shares.hold(task.workspace, task.demand);
    pairs.add(slot, task);
    if (task.isWatcher()) {
      spread.add(slot, task);
    }
  }
}
