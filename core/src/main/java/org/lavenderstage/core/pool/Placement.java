package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/**
 * Gives waiting tasks to workers, the most needed jobs first. A task that finds no room does not
 * hold up smaller ones behind it, but may have less urgent runs stopped that keep a checkpoint.
 */
final class Placement {
  /** Attempts of one term, so that those of a later owner are always higher. */
  private static final int ATTEMPTS_PER_TERM = 1_000;

  /** Time for a stopped run to make room before more are stopped for the same task. */
  private static final long PREEMPTION_PAUSE_MILLIS = 1_000;

  /** How long lasting tasks leave the last place free after urgent ones have lacked room. */
  private static final long SPARING_MILLIS = 10_000;

  /**
   * All that the search for a place depends on but the estimate. Room only shrinks in a round, so
   * what was found for one task holds for later ones of its shape that are expected to run as long.
   */
  private record Shape(
      WorkerSelector.Need need,
      boolean filling,
      int cpuMillis,
      boolean lasting,
      boolean begun,
      String image) {
    static Shape of(Task task) {
      StepSpec spec = task.step().spec();
      return new Shape(
          WorkerSelector.Need.of(task),
          spec.filling(),
          spec.cpuMillis(),
          spec.lasting(),
          task.hasBegun(),
          spec.image());
    }
  }

  private final JobTable jobs;
  private final WorkerTable workers;
  private final RunTracker runs;
  private final JobRanking order;
  private final BestEffortInterference pressure;
  private final DecisionLog log;
  private final int firstAttempt;
  private final Map<WorkerSelector.Need, Long> sparingUntil = new HashMap<>();
  private final DeferralLog deferrals;
  private final JobWaitLog waits;
  private int turn;
  private final Map<Task, Long> makingRoomUntil = new HashMap<>();

  Placement(
      JobTable jobs,
      WorkerTable workers,
      RunTracker runs,
      JobRanking order,
      BestEffortInterference pressure,
      long term,
      DecisionLog log) {
    this.jobs = jobs;
    this.workers = workers;
    this.runs = runs;
    this.order = order;
    this.pressure = pressure;
    this.log = log;
    this.deferrals = new DeferralLog(log);
    this.waits = new JobWaitLog(log);
    this.firstAttempt = Math.toIntExact((term - 1) * ATTEMPTS_PER_TERM) + 1;
  }

  /** Makes runs for the waiting tasks that have room. */
  void placeWaitingTasks(boolean inheritanceOpen, long nowMillis) {
    makingRoomUntil.values().removeIf(until -> until < nowMillis);
    deferrals.beginRound();
    waits.beginRound();
    turn = 0;
    sparingUntil.values().removeIf(until -> until <= nowMillis);
    WorkerSelector choice =
        new WorkerSelector(workers.all(), pressure, Set.copyOf(sparingUntil.keySet()), nowMillis);
    Map<Shape, Long> refused = new HashMap<>();
    for (Job job : order.sorted(jobs, nowMillis)) {
      if (!job.isActive()) {
        continue;
      }
      turn++;
      for (JobStep step : job.openSteps()) {
        if (!step.isDone() && job.isReady(step)) {
          place(step, choice, refused, inheritanceOpen, nowMillis);
        }
      }
    }
  }

  private void place(
      JobStep step,
      WorkerSelector choice,
      Map<Shape, Long> refused,
      boolean inheritanceOpen,
      long nowMillis) {
    List<Task> waiting = new ArrayList<>();
    List<Task> interrupted = new ArrayList<>();
    for (Task task : step.tasks()) {
      if (!task.isWaiting(nowMillis)) {
        continue;
      }
      if (inheritanceOpen && task.isInherited()) {
        waits.deferred(
            task,
            turn,
            () -> Map.of(Fit.UNSEEN, workers.unreportedWorkerCount(nowMillis)),
            nowMillis);
      } else {
        (task.isInterrupted(nowMillis) ? interrupted : waiting).add(task);
      }
    }
    if (!interrupted.isEmpty() && !step.spec().gang()) {
      // The others take their turn in the next round, when the job goes by them again.
      placeInterrupted(interrupted, choice, refused, nowMillis);
      return;
    }
    waiting.addAll(interrupted);
    if (waiting.isEmpty()) {
      return;
    }
    if (step.spec().gang()) {
      placeGang(step, waiting, choice, nowMillis);
      return;
    }
    for (Task task : waiting) {
      if (!placeOne(task, choice, refused, nowMillis)) {
        return;
      }
    }
  }

  private void placeInterrupted(
      List<Task> interrupted, WorkerSelector choice, Map<Shape, Long> refused, long nowMillis) {
    for (Task task : interrupted) {
      if (!placeOne(task, choice, refused, nowMillis) && !choice.keepPlaceForInterrupted(task)) {
        return;
      }
    }
  }

  private boolean placeOne(
      Task task, WorkerSelector choice, Map<Shape, Long> refused, long nowMillis) {
    StepSpec spec = task.step().spec();
    Shape shape = Shape.of(task);
    if (spec.estimateMillis() > refused.getOrDefault(shape, Long.MAX_VALUE)) {
      waits.deferred(task, turn, () -> choice.fits(task), nowMillis);
      return false;
    }
    PlacementResult search = choice.search(task);
    if (search instanceof PlacementResult.Found found) {
      begin(task, found.worker(), nextAttempt(task), nowMillis);
      choice.placedOn(found.worker());
      waits.placed(task.step().job());
      return true;
    }
    waits.deferred(task, turn, () -> choice.fits(task), nowMillis);
    deferrals.deferred(task, search, nowMillis);
    if (spec.maxPerWorker() == 0) {
      refused.put(
          shape, search instanceof PlacementResult.NoRoom none ? none.placeForMillis() : -1L);
    }
    if (!spec.filling() && !spec.lasting()) {
      boolean willFit = choice.keepPlaceFor(task);
      if (willFit && task.step().job().rules().priority() == 0) {
        sparingUntil.put(WorkerSelector.Need.of(task), nowMillis + SPARING_MILLIS);
      }
    }
    makeRoom(task, choice, nowMillis);
    return false;
  }

  /**
   * Starts all waiting members of a gang or none; they share one attempt, which is used up only
   * where all have room.
   */
  private void placeGang(JobStep step, List<Task> waiting, WorkerSelector choice, long nowMillis) {
    Task first = waiting.get(0);
    boolean mayStart = waiting.size() == step.tasks().size() && mayHaveRoom(waiting, choice);
    List<Run> reserved = mayStart ? reserveAll(waiting, choice, nowMillis) : List.of();
    for (Run run : reserved) {
      Worker worker = workers.find(run.worker()).orElseThrow();
      RunTracker.release(worker, run);
      choice.placedOn(worker);
    }
    if (reserved.size() < waiting.size()) {
      waits.deferred(first, turn, () -> choice.fits(first), nowMillis);
      return;
    }
    waits.placed(step.job());
    int attempt = waiting.stream().mapToInt(this::nextAttempt).max().orElseThrow();
    for (Run run : reserved) {
      begin(run.task(), workers.find(run.worker()).orElseThrow(), attempt, nowMillis);
    }
  }

  /** Tells at little cost whether so many members fit next to each other at all. */
  private boolean mayHaveRoom(List<Task> members, WorkerSelector choice) {
    Task member = members.get(0);
    Resources demand = Worker.demand(member.step().spec());
    int missing = members.size();
    for (Worker worker : workers.all()) {
      if (choice.isAllowed(worker, member)) {
        Resources free = worker.free();
        while (missing > 0 && demand.fitsIn(free)) {
          free = free.minus(demand);
          missing--;
        }
      }
    }
    return missing == 0;
  }

  /** Takes room for the members in turn, up to the first that has none. */
  private List<Run> reserveAll(List<Task> members, WorkerSelector choice, long nowMillis) {
    List<Run> reserved = new ArrayList<>(members.size());
    for (Task member : members) {
      if (!(choice.search(member) instanceof PlacementResult.Found found)) {
        break;
      }
      reserved.add(reserve(member, found.worker(), nowMillis));
      choice.placedOn(found.worker());
    }
    return reserved;
  }

  /** Takes the room of a run that is not ordered; attempt 0 is none, so that none is used up. */
  private static Run reserve(Task task, Worker worker, long nowMillis) {
    Run run = new Run(task, 0, worker.id(), Run.State.STARTING, nowMillis);
    RunTracker.reserve(worker, run);
    return run;
  }

  private int nextAttempt(Task task) {
    return Math.max(task.lastAttempt() + 1, firstAttempt);
  }

  private Run begin(Task task, Worker worker, int attempt, long nowMillis) {
    Run run = new Run(task, attempt, worker.id(), Run.State.STARTING, nowMillis);
    RunTracker.track(worker, run);
    log.record(
        Decision.RUN_ORDERED,
        "task",
        task.id(),
        "attempt",
        attempt,
        "worker",
        worker.id(),
        "free-cpu",
        worker.free().cpuMillis(),
        "failures",
        task.failures(),
        "checkpoint",
        run.startCheckpoint());
    return run;
  }

  /** Stops less urgent runs with checkpoints on the worker where the fewest have to go. */
  private void makeRoom(Task task, WorkerSelector choice, long nowMillis) {
    if (task.step().job().rules().priority() > 0 || makingRoomUntil.containsKey(task)) {
      return;
    }
    List<Run> fewest = List.of();
    for (Worker worker : workers.all()) {
      if (choice.isAllowed(worker, task)) {
        List<Run> victims = victims(worker, task);
        if (!victims.isEmpty() && (fewest.isEmpty() || victims.size() < fewest.size())) {
          fewest = victims;
        }
      }
    }
    if (!fewest.isEmpty()) {
      makingRoomUntil.put(task, nowMillis + PREEMPTION_PAUSE_MILLIS);
      fewest.forEach(run -> runs.stop(run, "room for " + task.id(), nowMillis));
    }
  }

  private static List<Run> victims(Worker worker, Task task) {
    int priority = task.step().job().rules().priority();
    List<Run> candidates = new ArrayList<>();
    for (Run run : worker.runs()) {
      StepSpec spec = run.task().step().spec();
      if (run.state() == Run.State.RUNNING
          && run.task().step().job().rules().priority() > priority
          && spec.checkpointing()
          && !spec.gang()) {
        candidates.add(run);
      }
    }
    candidates.sort((a, b) -> Integer.compare(cpu(b), cpu(a)));
    List<Run> victims = new ArrayList<>();
    var room = worker.free();
    var demand = Worker.demand(task.step().spec());
    for (Run run : candidates) {
      if (demand.fitsIn(room)) {
        break;
      }
      victims.add(run);
      room = room.plus(Worker.demand(run.task().step().spec()));
    }
    return demand.fitsIn(room) ? victims : List.of();
  }

  private static int cpu(Run run) {
    return Worker.demand(run.task().step().spec()).cpuMillis();
  }
}
