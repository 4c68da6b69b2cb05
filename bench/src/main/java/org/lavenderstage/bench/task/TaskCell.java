package org.lavenderstage.bench.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.TaskUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.CellPlanner;
import org.lavenderstage.core.placement.DemandEstimator;
import org.lavenderstage.core.placement.PlannedAction;
import org.lavenderstage.core.placement.WorkloadKey;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;

/** A cell of the simulation model: runs tasks as the core's ledger and planner decide. */
final class TaskCell {
  static final double THROTTLED_FRACTION = 0.25;

  private static final long EPOCH = 1;
  private static final long START_DELAY_MILLIS = 200;
  private static final long RESTART_COST_MILLIS = 1_000;
  private static final long FAIL_AFTER_MILLIS = 1_000;
  private static final long STOP_DELAY_MILLIS = 500;
  private static final double USAGE_QUANTILE = 0.6;

  private final TaskCase taskCase;
  private final String name;
  private final CellPlanner planner;
  private final TaskStatistics statistics;
  private final Draws draws;
  private final CellLedger ledger = new CellLedger(0);
  private final Map<String, ModelTask> tasks = new HashMap<>();
  private final Map<Integer, List<ModelTask>> runningByWorker = new HashMap<>();
  private final Map<Integer, List<ModelTask>> endedByWorker = new HashMap<>();
  private final DemandEstimator demands = new DemandEstimator(USAGE_QUANTILE);
  private final FaultyWorkerCount faultyWorkers;
  private long offset;

  TaskCell(
      TaskCase taskCase, int index, CellPlanner planner, TaskStatistics statistics, long seed) {
    this.taskCase = taskCase;
    this.name = "cell-" + index;
    this.planner = planner;
    this.statistics = statistics;
    this.draws = new Draws(seed, 100 + index);
    this.faultyWorkers = new FaultyWorkerCount(taskCase.faultyWorkers());
    apply(0, new CellClaimed(name, "owner", EPOCH, Long.MAX_VALUE / 4));
    for (int w = index; w < TaskCase.WORKERS; w += TaskCase.CELLS) {
      runningByWorker.put(w, new ArrayList<>());
      endedByWorker.put(w, new ArrayList<>());
      register(w, w / TaskCase.CELLS / TaskCase.WORKERS_PER_RACK);
    }
  }

  private void register(int worker, int rack) {
    apply(
        0,
        new WorkerRegistered(
            workerName(worker),
            "",
            name,
            name + "-rack-" + rack,
            taskCase.batchCpuMillis(),
            TaskCase.WORKER_MEMORY_MB,
            0));
  }

  private static String workerName(int worker) {
    return String.format("worker-%02d", worker);
  }

  private static int workerIndex(String worker) {
    return Integer.parseInt(worker.substring(worker.length() - 2));
  }

  private boolean apply(long nowMillis, LedgerRecord record) {
    return ledger.apply(new RecordPosition(offset++, nowMillis), record);
  }

  void accept(ModelJob job, long nowMillis) {
    WorkloadKey workload = new WorkloadKey(job.workspace(), job.batchClass());
    int estimate =
        taskCase.correctsDemands()
            ? demands.estimate(workload, job.declaredCpuMillis())
            : job.declaredCpuMillis();
    int cpuMillis = Math.min(taskCase.batchCpuMillis(), estimate);
    tasks.put(job.id(), new ModelTask(job));
    apply(
        nowMillis,
        new JobAccepted(
            job.id(),
            job.workspace(),
            job.batchClass(),
            cpuMillis,
            cpuMillis * TaskCase.MEMORY_MB_PER_CORE / 1000,
            0,
            job.runMillis(),
            false,
            ""));
  }

  void cancel(ModelJob job, long nowMillis) {
    apply(nowMillis, new JobCancelled(job.id(), job.workspace()));
    ModelTask task = tasks.get(job.id());
    boolean isPlaced =
        ledger.job(job.id()).filter(state -> state.phase() == JobPhase.PLACED).isPresent();
    if (isPlaced && task.stopMillis == ModelJob.NEVER) {
      long stopAtMillis = nowMillis + taskCase.tickMillis() + STOP_DELAY_MILLIS;
      task.stopMillis = stopAtMillis;
      task.stopIsCancel = true;
    }
  }

  void advance(long nowMillis) {
    for (Map.Entry<Integer, List<ModelTask>> entry : runningByWorker.entrySet()) {
      advanceWorker(entry.getKey(), entry.getValue(), nowMillis);
    }
  }

  private void advanceWorker(int worker, List<ModelTask> running, long nowMillis) {
    double wanted = 0;
    for (ModelTask task : running) {
      wanted += task.isRunning(nowMillis) ? task.coresWanted() : 0;
    }
    double speed = Math.min(1, taskCase.batchCpuMillis() / 1000.0 / Math.max(wanted, 0.001));
    for (ModelTask task : List.copyOf(running)) {
      if (task.isRunning(nowMillis)) {
        run(task, speed);
      }
      endIfDue(task, worker, nowMillis);
    }
  }

  private void run(ModelTask task, double speed) {
    double done = task.coresWanted() * speed * taskCase.tickMillis();
    task.doneCoreMillis += done;
    task.intervalCoreMillis += done;
    statistics.ranCoreMillis += done;
  }

  private void endIfDue(ModelTask task, int worker, long nowMillis) {
    boolean isFaulty =
        taskCase.faultyWorkers().contains(worker) && nowMillis >= TaskCase.FAULTY_FROM_MILLIS;
    boolean isFailing = isFaulty || task.job.impossible();
    if (nowMillis >= task.stopMillis) {
      end(task, task.stopIsCancel ? EndReason.CANCELLED : EndReason.CHECKPOINTED, nowMillis);
    } else if (isFailing && nowMillis >= task.startMillis + FAIL_AFTER_MILLIS) {
      task.doneCoreMillis = 0;
      end(task, EndReason.FAILED, nowMillis);
    } else if (!isFailing && task.doneCoreMillis >= task.job.workCoreMillis()) {
      statistics.usefulCoreMillis += task.job.workCoreMillis();
      end(task, EndReason.DONE, nowMillis);
    }
  }

  private void end(ModelTask task, EndReason reason, long nowMillis) {
    runningByWorker.get(task.worker).remove(task);
    endedByWorker.get(task.worker).add(task.takeIntervalUsage());
    String checkpoint = reason == EndReason.CHECKPOINTED ? "kept" : "";
    apply(
        nowMillis, new AttemptEnded(task.job.id(), task.attempt, name, EPOCH, reason, checkpoint));
    if (reason == EndReason.CANCELLED) {
      long took = nowMillis - task.job.cancelMillis();
      statistics.slowestCancelMillis = Math.max(statistics.slowestCancelMillis, took);
    }
    if (reason == EndReason.FAILED) {
      faultyWorkers.failed(task.worker, task.job.id(), nowMillis);
      boolean isOver =
          ledger.job(task.job.id()).filter(job -> job.phase() == JobPhase.FAILED).isPresent();
      statistics.runnableJobsFailed += isOver && !task.job.impossible() ? 1 : 0;
      statistics.impossibleJobsFailed += isOver && task.job.impossible() ? 1 : 0;
    }
    if (planner instanceof AdaptivePlanner adaptive) {
      adaptive.attemptEnded(task.job.id(), workerName(task.worker), reason);
    }
  }

  void plan(long nowMillis) {
    for (PlannedAction action : planner.plan(ledger, nowMillis)) {
      ModelTask task = tasks.get(action.job());
      switch (action) {
        case PlannedAction.Place place -> place(task, place.worker(), nowMillis);
        case PlannedAction.Throttle ignored -> {
          task.throttled = true;
          statistics.throttles++;
        }
        case PlannedAction.Unthrottle ignored -> task.throttled = false;
        case PlannedAction.Evict ignored -> evict(task, nowMillis);
      }
    }
  }

  private void place(ModelTask task, String worker, long nowMillis) {
    int attempt = ledger.job(task.job.id()).map(JobState::attempt).orElse(0) + 1;
    boolean accepted =
        apply(
            nowMillis,
            new TaskPlaced(task.job.id(), attempt, worker, name, EPOCH, Long.MAX_VALUE / 4));
    if (!accepted) {
      throw new IllegalStateException(
          "the ledger rejected the placement of " + task.job.id() + " on " + worker);
    }
    boolean isRestart = attempt > 1 && task.doneCoreMillis > 0;
    long delay = START_DELAY_MILLIS + (isRestart ? RESTART_COST_MILLIS : 0);
    int index = workerIndex(worker);
    task.place(attempt, index, nowMillis + delay);
    runningByWorker.get(index).add(task);
    faultyWorkers.started(index, nowMillis);
    if (attempt == 1 && task.job.batchClass().equals(TaskCase.URGENT_CLASS)) {
      statistics.urgentStartMillis.recordValue(nowMillis + delay - task.job.arrivalMillis());
    }
  }

  private void evict(ModelTask task, long nowMillis) {
    if (task.stopMillis != ModelJob.NEVER) {
      return;
    }
    long checkpointMillis = (long) draws.between(500, 1_500);
    task.stopMillis = nowMillis + checkpointMillis;
    task.stopIsCancel = false;
    statistics.evictions[Integer.parseInt(task.job.workspace().substring(10))]++;
    double cores = task.job.cpuMillis() / 1000.0;
    statistics.lostCoreMillis += cores * (checkpointMillis + RESTART_COST_MILLIS);
  }

  /** Adds the cores that each class currently uses on a worker. */
  void coresByClass(int worker, long nowMillis, double[] cores) {
    for (ModelTask task : runningByWorker.get(worker)) {
      if (task.isRunning(nowMillis) && task.job.batchClass().startsWith("class-")) {
        cores[Integer.parseInt(task.job.batchClass().substring(6))] += task.coresWanted();
      }
    }
  }

  /** Returns and resets the usage since the last report, including that of ended tasks. */
  UsageReport report(int worker, long fromMillis, long toMillis, List<ServiceUsage> services) {
    List<TaskUsage> usages = new ArrayList<>();
    for (ModelTask task : runningByWorker.get(worker)) {
      usages.add(usage(task, toMillis - fromMillis));
    }
    for (ModelTask task : endedByWorker.get(worker)) {
      usages.add(usage(task, toMillis - fromMillis));
    }
    endedByWorker.get(worker).clear();
    return new UsageReport(workerName(worker), fromMillis, toMillis, services, usages);
  }

  private static TaskUsage usage(ModelTask task, long intervalMillis) {
    int cpuMillis = (int) (1000 * task.intervalCoreMillis / intervalMillis);
    task.intervalCoreMillis = 0;
    return new TaskUsage(
        task.job.id(), task.attempt, task.job.batchClass(), cpuMillis, task.throttled);
  }

  void deliver(UsageReport report) {
    if (planner instanceof AdaptivePlanner adaptive) {
      adaptive.observeUsage(report);
    }
    for (TaskUsage usage : report.tasks()) {
      ModelJob job = tasks.get(usage.job()).job;
      demands.observe(new WorkloadKey(job.workspace(), job.batchClass()), usage.cpuMillis());
    }
  }

  /** Counts urgent tasks that never started as if they had started at the end of the run. */
  void finish(long nowMillis) {
    for (ModelTask task : tasks.values()) {
      if (task.attempt == 0 && task.job.batchClass().equals(TaskCase.URGENT_CLASS)) {
        statistics.urgentStartMillis.recordValue(nowMillis - task.job.arrivalMillis());
      }
    }
    statistics.maxFaultyWorkerStartsPerHour =
        Math.max(statistics.maxFaultyWorkerStartsPerHour, faultyWorkers.maxStartsPerHour());
  }
}
