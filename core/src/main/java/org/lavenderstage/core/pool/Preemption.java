package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/** Stops less urgent runs that support checkpoints, so that an urgent task fits on a worker. */
final class Preemption {
  /**
   * Time for preempted runs to stop before more are preempted for the same task, in milliseconds.
   */
  private static final long PREEMPTION_PAUSE_MILLIS = 1_000;

  private final WorkerTable workers;
  private final RunTracker runs;
  private final Map<Task, Long> preemptionPauseUntil = new HashMap<>();

  Preemption(WorkerTable workers, RunTracker runs) {
    this.workers = workers;
    this.runs = runs;
  }

  /** Begins a scheduling round. */
  void beginRound(long nowMillis) {
    preemptionPauseUntil.values().removeIf(until -> until < nowMillis);
  }

  /** Preempts less urgent runs with checkpoints, on the worker where the fewest have to stop. */
  void preemptFor(Task task, WorkerSelector selector, long nowMillis) {
    if (task.step().job().rules().priority() > 0 || preemptionPauseUntil.containsKey(task)) {
      return;
    }
    List<Run> fewest = List.of();
    for (Worker worker : workers.all()) {
      if (selector.isAllowed(worker, task)) {
        List<Run> victims = victims(worker, task);
        if (!victims.isEmpty() && (fewest.isEmpty() || victims.size() < fewest.size())) {
          fewest = victims;
        }
      }
    }
    if (!fewest.isEmpty()) {
      preemptionPauseUntil.put(task, nowMillis + PREEMPTION_PAUSE_MILLIS);
      fewest.forEach(run -> runs.stop(run, "preempted for " + task.id(), nowMillis));
    }
  }

  /**
   * Returns the runs to stop so that a task fits on a worker. Long-running tasks are not among
   * them: once interrupted they are placed before urgent ones, and would take the capacity back.
   */
  private static List<Run> victims(Worker worker, Task task) {
    int priority = task.step().job().rules().priority();
    List<Run> candidates = new ArrayList<>();
    for (List<Run> runsOfTask : worker.runsByTask()) {
      for (Run run : runsOfTask) {
        StepSpec spec = run.task().step().spec();
        if (run.state() == Run.State.RUNNING
            && run.task().step().job().rules().priority() > priority
            && spec.checkpointing()
            && !spec.lasting()
            && !spec.gang()) {
          candidates.add(run);
        }
      }
    }
    if (candidates.isEmpty()) {
      return List.of();
    }
    candidates.sort((a, b) -> Integer.compare(cpu(b), cpu(a)));
    List<Run> victims = new ArrayList<>();
    var available = worker.free();
    var demand = Worker.demand(task.step().spec());
    for (Run run : candidates) {
      if (demand.fitsIn(available)) {
        break;
      }
      victims.add(run);
      available = available.plus(Worker.demand(run.task().step().spec()));
    }
    return demand.fitsIn(available) ? victims : List.of();
  }

  private static int cpu(Run run) {
    return Worker.demand(run.task().step().spec()).cpuMillis();
  }
}
