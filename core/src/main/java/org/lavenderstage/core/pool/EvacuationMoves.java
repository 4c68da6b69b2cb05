package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/**
 * Moves long-running tasks out of evacuated failure domains. Capacity elsewhere is held for a task
 * before its run is stopped, and only as many tasks of a step are away at the same time as it may
 * miss; tasks of a step that may miss none stay, and so do those for which no capacity is free.
 */
final class EvacuationMoves {
  /** Time for which a move counts towards the limits, in milliseconds; a stop and a start. */
  private static final long WINDOW_MILLIS = 2_000;

  /** Maximum number of moves in that time, so that other orders do not wait behind them. */
  static final int MAX_MOVES = 16;

  /** Maximum number of moves to one rack in that time; what they cause there shows by then. */
  static final int MAX_MOVES_PER_RACK = 4;

  /** Time between two searches for tasks to move, in milliseconds; that of a few rounds. */
  private static final long SEARCH_INTERVAL_MILLIS = 100;

  /** Progress of a long-running task that is at work, in percent. */
  private static final int AT_WORK_PERCENT = 100;

  /** A move whose capacity is held until the run has ended or the time is over. */
  private static final class Move {
    final Run run;
    final Worker target;
    final String rack;
    final long sinceMillis;
    boolean finished;

    Move(Run run, Worker target, long sinceMillis) {
      this.run = run;
      this.target = target;
      this.rack = rackOf(target);
      this.sinceMillis = sinceMillis;
    }
  }

  private final WorkerTable workers;
  private final RunTracker runs;
  private final DecisionLog log;
  private final List<Move> moves = new ArrayList<>();
  private long nextSearchMillis = Long.MIN_VALUE;

  EvacuationMoves(WorkerTable workers, RunTracker runs, DecisionLog log) {
    this.workers = workers;
    this.runs = runs;
    this.log = log;
  }

  /**
   * Starts the tasks whose runs have ended on the workers that are held for them.
   *
   * @param mayStart returns whether no other run of a task can exist
   * @param start starts a task on a worker
   */
  void finish(
      WorkerSelector selector,
      Predicate<Task> mayStart,
      BiConsumer<Task, Worker> start,
      long nowMillis) {
    for (Move move : moves) {
      Task task = move.run.task();
      boolean ended = !task.runs().contains(move.run);
      boolean isOver = ended || nowMillis - move.sinceMillis >= WINDOW_MILLIS;
      if (move.finished || !isOver) {
        continue;
      }
      move.finished = true;
      move.target.evacuation.release(Worker.demand(task.step().spec()));
      boolean startable = ended && task.step().job().isActive() && task.isWaiting(nowMillis);
      if (startable && mayStart.test(task) && isUsable(move, selector)) {
        start.accept(task, move.target);
      }
      selector.invalidate(move.target);
    }
    moves.removeIf(move -> move.finished && nowMillis - move.sinceMillis >= WINDOW_MILLIS);
  }

  private boolean isUsable(Move move, WorkerSelector selector) {
    Task task = move.run.task();
    return workers.find(move.target.id()).filter(known -> known == move.target).isPresent()
        && selector.isAllowed(move.target, task)
        && Worker.demand(task.step().spec()).fitsIn(move.target.free());
  }

  /** Begins moves with the capacity that the waiting tasks have left in this round. */
  void begin(WorkerSelector selector, long nowMillis) {
    if (nowMillis < nextSearchMillis) {
      return;
    }
    nextSearchMillis = nowMillis + SEARCH_INTERVAL_MILLIS;
    Set<JobStep> unplaceable = new HashSet<>();
    for (Worker worker : workers.all()) {
      if (!worker.evacuation.isEvacuated() || worker.isUnresponsive()) {
        continue;
      }
      for (Run run : worker.runs()) {
        JobStep step = run.task().step();
        if (moves.size() < MAX_MOVES
            && !unplaceable.contains(step)
            && isMovable(run)
            && !begin(run, selector, nowMillis)) {
          unplaceable.add(step);
        }
      }
    }
  }

  private boolean isMovable(Run run) {
    StepSpec spec = run.task().step().spec();
    return spec.lasting()
        && !spec.gang()
        && !spec.filling()
        && run.state() == Run.State.RUNNING
        && run.task().runs().size() == 1
        && run.task().step().job().isActive()
        && othersAway(run.task()) < spec.mayMiss();
  }

  /** Counts the other tasks of a step that are not known to be at work, for any cause. */
  private long othersAway(Task task) {
    return task.step().tasks().stream()
        .filter(other -> other != task && other.runs().stream().noneMatch(this::isAtWork))
        .count();
  }

  private boolean isAtWork(Run run) {
    return run.state() == Run.State.RUNNING
        && run.progressPercent() >= AT_WORK_PERCENT
        && workers.find(run.worker()).filter(worker -> !worker.isUnresponsive()).isPresent();
  }

  /** Begins a move if there is a worker for it; returns whether it has begun. */
  private boolean begin(Run run, WorkerSelector selector, long nowMillis) {
    Optional<Worker> target = findTarget(run.task(), selector);
    if (target.isEmpty()) {
      return false;
    }
    target.get().evacuation.hold(Worker.demand(run.task().step().spec()));
    selector.invalidate(target.get());
    moves.add(new Move(run, target.get(), nowMillis));
    log.record(
        Decision.TASK_MOVED,
        "task",
        run.task().id(),
        "attempt",
        run.attempt(),
        "worker",
        run.worker(),
        "target",
        target.get().id(),
        "rack",
        rackOf(target.get()),
        "away",
        othersAway(run.task()));
    runs.stop(run, "its failure domain is evacuated", nowMillis);
    return true;
  }

  private Optional<Worker> findTarget(Task task, WorkerSelector selector) {
    selector.excludeRacks(racksAtLimit());
    return selector.search(task, false) instanceof PlacementResult.Found found
        ? Optional.of(found.worker())
        : Optional.empty();
  }

  private Set<String> racksAtLimit() {
    Map<String, Integer> counts = new HashMap<>();
    moves.forEach(move -> counts.merge(move.rack, 1, Integer::sum));
    counts.values().removeIf(count -> count < MAX_MOVES_PER_RACK);
    return counts.keySet();
  }

  private static String rackOf(Worker worker) {
    return worker.listing().map(WorkerListing::rack).orElse("");
  }
}
