package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/**
 * Places the members of gangs, which work only together: all of them or none. Capacity is reserved
 * for a gang that does not fit, for a limited time. A member whose start was rejected joins the
 * others on another worker or, if there is none soon, the others are stopped.
 */
final class GangPlacement {
  /**
   * Longest time for which capacity is reserved for a gang, in milliseconds; most short runs end
   * within it, so that a gang that does not fit then may not fit for long.
   */
  private static final long MAX_RESERVATION_MILLIS = 10_000;

  /**
   * Time after such a reservation in which other tasks may use the capacity, in milliseconds; half
   * of that for which they had to leave it free.
   */
  private static final long RESERVATION_PAUSE_MILLIS = 5_000;

  /**
   * Time that the members of a gang wait for one that has no run, in milliseconds. Together with
   * two unanswered starts of that one it is shorter than the time after which a worker ends a
   * member that waits alone.
   */
  private static final long JOIN_MILLIS = 500;

  private final WorkerTable workers;
  private final RunTracker runs;
  private final RunStarter starter;
  private final JobWaitLog waitLog;

  /** Since when capacity is reserved for a gang, by step; of the previous and of this round. */
  private Map<JobStep, Long> previouslyReservedSince = new HashMap<>();

  private Map<JobStep, Long> reservedSince = new HashMap<>();

  /** The gangs of which a member had no run beside others that did, by step. */
  private final Map<JobStep, IncompleteGang> incomplete = new HashMap<>();

  /** An attempt of a gang of which a member has or had no run, and since when. */
  private record IncompleteGang(long attempt, long sinceMillis) {}

  GangPlacement(WorkerTable workers, RunTracker runs, RunStarter starter, JobWaitLog waitLog) {
    this.workers = workers;
    this.runs = runs;
    this.starter = starter;
    this.waitLog = waitLog;
  }

  void beginRound() {
    previouslyReservedSince = reservedSince;
    reservedSince = new HashMap<>();
    incomplete.keySet().removeIf(step -> step.isDone() || !step.job().isActive());
  }

  /**
   * Starts the members of a gang that wait, if all of them fit. They share one attempt number,
   * which is used only then.
   *
   * @param waiting the members that may start now
   * @param rank rank of the job in this round, from 1
   */
  void place(JobStep step, List<Task> waiting, WorkerSelector selector, int rank, long nowMillis) {
    boolean placed =
        waiting.size() == step.tasks().size()
            ? startOrReserve(step, waiting, selector, nowMillis)
            : joinOrStop(step, waiting, selector, nowMillis);
    if (placed) {
      waitLog.recordPlaced(step.job());
    } else {
      Task first = waiting.get(0);
      waitLog.recordDeferred(first, rank, () -> selector.countFits(first), nowMillis);
    }
  }

  private boolean startOrReserve(
      JobStep step, List<Task> members, WorkerSelector selector, long nowMillis) {
    long attempt = members.stream().mapToLong(starter::nextAttempt).max().orElseThrow();
    alignCheckpoints(members);
    if (startAll(members, attempt, selector, nowMillis)) {
      return true;
    }
    reserve(step, members, selector, nowMillis);
    return false;
  }

  /**
   * Lets the members that wait join the others, or stops the others if that takes too long: they
   * would occupy their workers without working until these end them.
   */
  private boolean joinOrStop(
      JobStep step, List<Task> waiting, WorkerSelector selector, long nowMillis) {
    List<Run> present = new ArrayList<>();
    step.tasks().forEach(member -> present.addAll(member.runs()));
    if (present.isEmpty()) {
      return false;
    }
    long attempt = present.stream().mapToLong(Run::attempt).max().orElseThrow();
    IncompleteGang gang = incomplete.get(step);
    if (gang == null || gang.attempt() != attempt) {
      gang = new IncompleteGang(attempt, nowMillis);
      incomplete.put(step, gang);
    }
    if (nowMillis - gang.sinceMillis() >= JOIN_MILLIS) {
      // Others are stopped already, and are over once their worker or their lease shows it.
      present.stream()
          .filter(GangPlacement::isStartingOrRunning)
          .forEach(run -> runs.stop(run, "another member of its gang has no run", nowMillis));
      return false;
    }
    return mayJoin(step, waiting, present, attempt)
        && startAll(waiting, attempt, selector, nowMillis);
  }

  /**
   * Returns whether all other members wait for the given ones, whose starts of the same attempt
   * were rejected. Starts on other workers may then use that attempt.
   */
  private static boolean mayJoin(
      JobStep step, List<Task> waiting, List<Run> present, long attempt) {
    return present.size() + waiting.size() == step.tasks().size()
        && waiting.stream().allMatch(member -> member.unusedAttempt() == attempt)
        && present.stream().allMatch(run -> run.attempt() == attempt && isStartingOrRunning(run))
        && waiting.stream()
            .allMatch(member -> member.checkpoint().equals(present.get(0).startCheckpoint()));
  }

  private static boolean isStartingOrRunning(Run run) {
    return run.state() == Run.State.STARTING || run.state() == Run.State.RUNNING;
  }

  /** Starts the given members if all of them fit. */
  private boolean startAll(
      List<Task> members, long attempt, WorkerSelector selector, long nowMillis) {
    if (!mayFit(members, selector)) {
      return false;
    }
    List<Run> allocated = allocateAll(members, selector, nowMillis);
    for (Run run : allocated) {
      Worker worker = workers.find(run.worker()).orElseThrow();
      runs.release(worker, run);
      selector.invalidate(worker);
    }
    if (allocated.size() < members.size()) {
      return false;
    }
    for (Run run : allocated) {
      starter.start(run.task(), workers.find(run.worker()).orElseThrow(), attempt, nowMillis);
    }
    return true;
  }

  /** Reserves capacity for a gang, unless its reservation has lasted too long. */
  private void reserve(JobStep step, List<Task> members, WorkerSelector selector, long nowMillis) {
    long since = previouslyReservedSince.getOrDefault(step, nowMillis);
    if (nowMillis - since >= MAX_RESERVATION_MILLIS + RESERVATION_PAUSE_MILLIS) {
      since = nowMillis;
    }
    boolean paused = nowMillis - since >= MAX_RESERVATION_MILLIS;
    if (paused || selector.reservations().reserveForGang(members)) {
      reservedSince.put(step, since);
    }
  }

  /**
   * Lets all members of a gang resume from the same checkpoint: that of any member is valid for the
   * gang, and members with different ones do not work together.
   */
  private static void alignCheckpoints(List<Task> members) {
    members.stream()
        .map(Task::checkpoint)
        .filter(checkpoint -> !checkpoint.isEmpty())
        .findFirst()
        .ifPresent(checkpoint -> members.forEach(member -> member.updateCheckpoint(checkpoint)));
  }

  /**
   * Returns whether the allowed workers have enough free capacity for all members. This is a cheap
   * check before the actual search.
   */
  private boolean mayFit(List<Task> members, WorkerSelector selector) {
    Task member = members.get(0);
    Resources demand = Worker.demand(member.step().spec());
    int missing = members.size();
    for (Worker worker : workers.all()) {
      if (selector.isAllowed(worker, member)) {
        Resources free = worker.free();
        while (missing > 0 && demand.fitsIn(free)) {
          free = free.minus(demand);
          missing--;
        }
      }
    }
    return missing == 0;
  }

  /** Allocates capacity for the members one by one, up to the first that does not fit. */
  private List<Run> allocateAll(List<Task> members, WorkerSelector selector, long nowMillis) {
    List<Run> allocated = new ArrayList<>(members.size());
    for (Task member : members) {
      if (!(selector.search(member, false) instanceof PlacementResult.Found found)) {
        break;
      }
      allocated.add(allocate(member, found.worker(), nowMillis));
      selector.invalidate(found.worker());
    }
    return allocated;
  }

  /**
   * Allocates capacity for a run that is not ordered yet, under attempt 0 so that no attempt is
   * used.
   */
  private static Run allocate(Task task, Worker worker, long nowMillis) {
    Run run = new Run(task, 0, worker.id(), Run.State.STARTING, nowMillis);
    RunTracker.reserve(worker, run);
    return run;
  }
}
