package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/**
 * Stops runs so that waiting tasks fit on a worker, where callers gain more by that than they lose.
 * Tasks of the highest priority may replace less urgent runs; tasks of any priority may replace
 * runs of jobs that are too late to have any value. Long-running tasks and gangs are never stopped:
 * the former are placed first once interrupted, and would take the capacity back.
 */
final class Preemption {
  /**
   * Time between two reviews of a step, in milliseconds; about the time until a stopped run has
   * freed its worker.
   */
  private static final long REVIEW_INTERVAL_MILLIS = 250;

  /** Maximum number of steps in a review, for each of which the runs of all workers are read. */
  private static final int MAX_STEPS_PER_REVIEW = 4;

  /** Maximum number of runs that are stopped in a review, beyond which stops wait for the next. */
  private static final int MAX_STOPS_PER_REVIEW = 32;

  /** Maximum number of times that a task is stopped for others, so that it ends after all. */
  private static final int MAX_STOPS_PER_TASK = 2;

  /** Time for which a task that was stopped for another one runs undisturbed, in milliseconds. */
  private static final long PROTECTION_MILLIS = 3_000;

  /**
   * What callers have to gain at least by a stop, as a multiple of what they lose, if both tasks
   * are of the same priority.
   */
  private static final double MIN_GAIN_TO_COST = 2;

  private final WorkerTable workers;
  private final RunTracker runs;
  private final Function<Job, JobOutlook> outlooks;
  private final DecisionLog log;
  private final Set<JobStep> reviewed = new HashSet<>();
  private final Map<Task, Integer> stopCounts = new HashMap<>();
  private VictimSelection urgentSelection;
  private VictimSelection selection;
  private long nextReviewMillis = Long.MIN_VALUE;
  private long nowMillis;
  private int remainingStops;

  /**
   * Creates the preemption of an owner.
   *
   * @param outlooks returns the outlook of an active job in the current scheduling round
   */
  Preemption(
      WorkerTable workers, RunTracker runs, Function<Job, JobOutlook> outlooks, DecisionLog log) {
    this.workers = workers;
    this.runs = runs;
    this.outlooks = outlooks;
    this.log = log;
  }

  /** Begins a scheduling round. A review may take several rounds, since steps wait in turn. */
  void beginRound(long roundMillis) {
    nowMillis = roundMillis;
    if (nowMillis < nextReviewMillis) {
      return;
    }
    nextReviewMillis = nowMillis + REVIEW_INTERVAL_MILLIS;
    reviewed.clear();
    stopCounts.keySet().removeIf(task -> task.isDone() || !task.step().job().isActive());
    urgentSelection = new VictimSelection(outlooks, this::mayStop);
    selection = new VictimSelection(outlooks, run -> mayStop(run) && !canEarn(run));
    remainingStops = MAX_STOPS_PER_REVIEW;
  }

  private boolean canEarn(Run run) {
    return outlooks.apply(run.task().step().job()).canEarn();
  }

  private boolean mayStop(Run run) {
    StepSpec spec = run.task().step().spec();
    boolean running = run.state() == Run.State.RUNNING && run.task().step().job().isActive();
    if (!running || spec.lasting() || spec.gang()) {
      return false;
    }
    int stops = stopCounts.getOrDefault(run.task(), 0);
    boolean isProtected = stops > 0 && nowMillis - run.stateSinceMillis() < PROTECTION_MILLIS;
    return stops < MAX_STOPS_PER_TASK
        && !isProtected
        && (run.task().step().job().rules().priority() > 0 || !canEarn(run))
        && StopCost.remainingMillis(run, nowMillis) > StopCost.RESUME_MILLIS;
  }

  /**
   * Stops runs for tasks that fit on no worker, if that is worth it.
   *
   * @param tasks tasks of one step, the first of those that wait first
   */
  void stopRunsFor(List<Task> tasks, WorkerSelector selector) {
    JobStep step = tasks.get(0).step();
    boolean isDue =
        reviewed.size() < MAX_STEPS_PER_REVIEW && remainingStops > 0 && !reviewed.contains(step);
    if (!isDue || !outlooks.apply(step.job()).canEarn()) {
      return;
    }
    List<Task> waiting = tasks.stream().filter(task -> task.isWaiting(nowMillis)).toList();
    if (waiting.isEmpty()) {
      return;
    }
    reviewed.add(step);
    Task first = waiting.get(0);
    List<Worker> allowed =
        workers.all().stream().filter(worker -> selector.isAllowed(worker, first)).toList();
    boolean urgent = step.job().rules().priority() == 0 && !step.spec().filling();
    VictimSelection.Choice choice =
        (urgent ? urgentSelection : selection)
            .choose(first, waiting.size(), urgent ? 1 : MIN_GAIN_TO_COST, allowed, nowMillis);
    if (!choice.victims().isEmpty()) {
      stopAll(choice, first);
    }
  }

  private void stopAll(VictimSelection.Choice choice, Task task) {
    log.record(
        Decision.RUNS_PREEMPTED,
        "task",
        task.id(),
        "runs",
        choice.victims().size(),
        "wait-ms",
        choice.waitMillis() < VictimSelection.UNKNOWN_WAIT_MILLIS ? choice.waitMillis() : -1,
        "gain",
        percent(choice.gain()),
        "cost",
        percent(choice.cost()));
    for (Run run : choice.victims()) {
      if (remainingStops > 0) {
        remainingStops--;
        stopCounts.merge(run.task(), 1, Integer::sum);
        runs.stop(run, "preempted for " + task.id(), nowMillis);
      }
    }
  }

  private static long percent(double value) {
    return Math.round(100 * value);
  }
}
