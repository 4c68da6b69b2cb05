package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.job.TaskId;

/**
 * Assigns waiting tasks to workers, in the order of the jobs' ranks. A task that fits on no worker
 * does not block smaller ones behind it, but other runs may be stopped for it ({@link Preemption}).
 */
final class Placement {
  /**
   * Time after an urgent task did not fit on any worker for which the last suitable worker is
   * withheld from long-running tasks, in milliseconds.
   */
  private static final long WITHHOLD_MILLIS = 10_000;

  /**
   * Time for which an interrupted task leaves capacity to the interrupted tasks that it is reserved
   * for, in milliseconds; shorter than the wait that users accept.
   */
  private static final long RESERVATION_WAIT_MILLIS = 2_000;

  /**
   * Time after which a best-effort job without any run gets one at reduced speed, in milliseconds;
   * well within the time for which a job may have no run beside free capacity.
   */
  private static final long REDUCED_SPEED_DELAY_MILLIS = 1_000;

  /** Highest speed limit of such a run, in percent. */
  private static final int REDUCED_SPEED_PERCENT = 20;

  /**
   * What a search for a worker depends on, except the estimate. Free capacity only shrinks within a
   * scheduling round, so the result for one task also holds for later tasks with an equal key whose
   * estimate is at least as long.
   */
  private record SearchKey(
      Requirements requirements,
      boolean bestEffort,
      int cpuMillis,
      boolean longRunning,
      boolean begun,
      boolean overdue,
      boolean avoidsSuspects,
      String image) {
    static SearchKey of(Task task, boolean overdue, long nowMillis) {
      StepSpec spec = task.step().spec();
      return new SearchKey(
          Requirements.of(task),
          spec.filling(),
          spec.cpuMillis(),
          spec.lasting(),
          task.hasBegun(),
          overdue,
          task.avoidsSuspects(nowMillis),
          spec.image());
    }
  }

  private final JobTable jobs;
  private final WorkerTable workers;
  private final RunStarter starter;
  private final GangPlacement gangs;
  private final JobRanking ranking;
  private final BestEffortInterference interference;
  private final Map<Requirements, Long> withheldUntil = new HashMap<>();
  private final DeferralLog deferralLog;
  private final JobWaitLog waitLog;
  private int rank;
  private boolean inheritancePending;
  private Set<String> unreportedTasks = Set.of();
  private OptionalLong lastLeaseEndMillis = OptionalLong.empty();
  private Set<TaskId> lateTasks = Set.of();
  private final Preemption preemption;
  private final EvacuationMoves moves;

  /** Whether most of the capacity of a service is free in this round. */
  private final Map<String, Boolean> mostFreeServices = new HashMap<>();

  /** What fits on no worker in this round, not even at reduced speed. */
  private final Set<SearchKey> unplaceable = new HashSet<>();

  Placement(
      JobTable jobs,
      WorkerTable workers,
      RunTracker runs,
      JobRanking ranking,
      BestEffortInterference interference,
      long term,
      DecisionLog log) {
    this.jobs = jobs;
    this.workers = workers;
    this.ranking = ranking;
    this.interference = interference;
    this.preemption = new Preemption(workers, runs, job -> ranking.outlook(job).orElseThrow(), log);
    this.moves = new EvacuationMoves(workers, runs, log);
    this.deferralLog = new DeferralLog(log);
    this.waitLog = new JobWaitLog(log);
    this.starter = new RunStarter(jobs, runs, term, log);
    this.gangs = new GangPlacement(workers, runs, starter, waitLog);
  }

  /**
   * Creates runs for the waiting tasks that fit on a worker.
   *
   * @param anyMayRun whether any inherited task may have a run that is not reported yet
   */
  void placeWaitingTasks(boolean anyMayRun, long nowMillis) {
    inheritancePending = anyMayRun;
    unreportedTasks = workers.unreportedRuns().listedTasks(nowMillis);
    lastLeaseEndMillis = workers.unreportedRuns().lastLeaseEndMillis(nowMillis);
    lateTasks = workers.lateOrders().awaitedTasks(workers.all(), nowMillis);
    preemption.beginRound(nowMillis);
    mostFreeServices.clear();
    unplaceable.clear();
    deferralLog.beginRound();
    waitLog.beginRound();
    gangs.beginRound();
    rank = 0;
    withheldUntil.values().removeIf(until -> until <= nowMillis);
    WorkerSelector selector =
        new WorkerSelector(
            workers.all(), interference, Set.copyOf(withheldUntil.keySet()), nowMillis);
    moves.finish(
        selector,
        task -> !mayRunUnreported(task) && starter.mayStart(task),
        (task, worker) -> starter.start(task, worker, starter.nextAttempt(task), nowMillis),
        nowMillis);
    Map<SearchKey, Long> longestPlaceableMillis = new HashMap<>();
    for (Job job : ranking.sortedByRank(jobs, nowMillis)) {
      if (!job.isActive()) {
        continue;
      }
      rank++;
      for (JobStep step : job.openSteps()) {
        if (!step.isDone() && job.isReady(step)) {
          placeStep(step, selector, longestPlaceableMillis, nowMillis);
        }
      }
    }
    moves.begin(selector, nowMillis);
  }

  private void placeStep(
      JobStep step,
      WorkerSelector selector,
      Map<SearchKey, Long> longestPlaceableMillis,
      long nowMillis) {
    boolean allReported = !inheritancePending && unreportedTasks.isEmpty() && lateTasks.isEmpty();
    if (allReported && !step.spec().gang() && !step.spec().lasting()) {
      placeTasksInOrder(step.tasks(), selector, longestPlaceableMillis, nowMillis);
      return;
    }
    List<Task> waiting = new ArrayList<>();
    List<Task> interrupted = new ArrayList<>();
    for (Task task : step.tasks()) {
      if (!isStartable(task, nowMillis)) {
        continue;
      }
      if (mayRunUnreported(task)) {
        waitLog.recordDeferred(
            task,
            rank,
            () -> Map.of(Fit.UNSEEN, workers.unreportedRuns().workerCount(nowMillis)),
            nowMillis);
        if (task.isInterrupted(nowMillis) && !step.spec().gang()) {
          lastLeaseEndMillis.ifPresent(
              end -> selector.reservations().reserveForInherited(task, end));
        }
      } else {
        (task.isInterrupted(nowMillis) ? interrupted : waiting).add(task);
      }
    }
    if (!interrupted.isEmpty() && !step.spec().gang()) {
      // The other tasks wait for the next round, in which they determine the rank of the job.
      placeInterrupted(interrupted, selector, longestPlaceableMillis, nowMillis);
      return;
    }
    waiting.addAll(interrupted);
    if (waiting.isEmpty()) {
      return;
    }
    if (step.spec().gang()) {
      gangs.place(step, waiting, selector, rank, nowMillis);
      return;
    }
    placeTasksInOrder(waiting, selector, longestPlaceableMillis, nowMillis);
  }

  private boolean isStartable(Task task, long nowMillis) {
    return task.isWaiting(nowMillis) && starter.mayStart(task);
  }

  /** Returns whether a task may have a run that is not reported yet. */
  private boolean mayRunUnreported(Task task) {
    boolean mayRunInherited =
        task.isInherited()
            && (inheritancePending || unreportedTasks.contains(task.id().toString()));
    return mayRunInherited || lateTasks.contains(task.id());
  }

  /**
   * Places the tasks that wait, up to the first that does not fit; capacity is reserved for it and
   * the later ones if they are urgent.
   */
  private void placeTasksInOrder(
      List<Task> tasks,
      WorkerSelector selector,
      Map<SearchKey, Long> longestPlaceableMillis,
      long nowMillis) {
    boolean placeable = true;
    for (Task task : tasks) {
      if (!isStartable(task, nowMillis)) {
        continue;
      }
      if (placeable && !placeTask(task, selector, longestPlaceableMillis, nowMillis)) {
        placeable = false;
        preemption.stopRunsFor(tasks, selector);
      }
      if (!placeable && !reserveForUrgent(task, selector)) {
        return;
      }
    }
  }

  /**
   * Reserves capacity for a task if it is urgent and can still earn, so that each of these tasks
   * gets a worker about when the short runs there end; with one reservation in all they would get
   * one after another.
   *
   * @return whether capacity is reserved
   */
  private boolean reserveForUrgent(Task task, WorkerSelector selector) {
    StepSpec spec = task.step().spec();
    return ranking.outlook(task.step().job()).filter(JobOutlook::canEarn).isPresent()
        && selector.reservations().mayReserve()
        && task.step().job().rules().priority() == 0
        && !spec.filling()
        && !spec.lasting()
        && selector.reservations().reserveFor(task);
  }

  private void placeInterrupted(
      List<Task> interrupted,
      WorkerSelector selector,
      Map<SearchKey, Long> longestPlaceableMillis,
      long nowMillis) {
    // The first that fits nowhere has waited longest, so the others of the step fit nowhere either.
    interrupted.sort(Comparator.comparingLong(task -> task.recordInterrupted(nowMillis)));
    for (Task task : interrupted) {
      if (!placeTask(task, selector, longestPlaceableMillis, nowMillis)) {
        preemption.stopRunsFor(interrupted, selector);
        if (!selector.reservations().reserveForInterrupted(task)) {
          return;
        }
      }
    }
  }

  private boolean placeTask(
      Task task,
      WorkerSelector selector,
      Map<SearchKey, Long> longestPlaceableMillis,
      long nowMillis) {
    StepSpec spec = task.step().spec();
    boolean overdue =
        task.isInterrupted(nowMillis)
            && nowMillis - task.recordInterrupted(nowMillis) >= RESERVATION_WAIT_MILLIS;
    SearchKey key = SearchKey.of(task, overdue, nowMillis);
    if (spec.estimateMillis() > longestPlaceableMillis.getOrDefault(key, Long.MAX_VALUE)) {
      waitLog.recordDeferred(task, rank, () -> selector.countFits(task), nowMillis);
      return placeAtReducedSpeed(task, key, selector, nowMillis);
    }
    PlacementResult result = selector.search(task, overdue);
    if (result instanceof PlacementResult.Found found) {
      starter.start(task, found.worker(), starter.nextAttempt(task), nowMillis);
      selector.invalidate(found.worker());
      waitLog.recordPlaced(task.step().job());
      return true;
    }
    waitLog.recordDeferred(task, rank, () -> selector.countFits(task), nowMillis);
    deferralLog.recordDeferred(task, result, () -> selector.countFits(task), nowMillis);
    if (spec.maxPerWorker() == 0) {
      longestPlaceableMillis.put(
          key, result instanceof PlacementResult.NoRoom noRoom ? noRoom.longestRunMillis() : -1L);
    }
    if (!spec.filling() && !spec.lasting()) {
      boolean willFit = selector.reservations().reserveFor(task);
      if (willFit && task.step().job().rules().priority() == 0) {
        withheldUntil.put(Requirements.of(task), nowMillis + WITHHOLD_MILLIS);
      }
    }
    return placeAtReducedSpeed(task, key, selector, nowMillis);
  }

  /**
   * Places a best-effort task at reduced speed if its job has had no run for a while. Estimates of
   * interference are corrected only where best-effort tasks run, so they must not keep a job from
   * running at all; its speed is then set by what it causes.
   */
  private boolean placeAtReducedSpeed(
      Task task, SearchKey key, WorkerSelector selector, long nowMillis) {
    Job job = task.step().job();
    if (!task.step().spec().filling()
        || waitLog.waitedMillis(job, nowMillis) < REDUCED_SPEED_DELAY_MILLIS
        || !mostFreeServices.computeIfAbsent(
            job.rules().service(), service -> isMostCapacityFree(service, nowMillis))
        || unplaceable.contains(key)
        || hasRun(job)) {
      return false;
    }
    Optional<Worker> worker = selector.findForReducedSpeed(task);
    if (worker.isEmpty()) {
      unplaceable.add(key);
      return false;
    }
    Run run = starter.start(task, worker.get(), starter.nextAttempt(task), nowMillis);
    run.startAtReducedSpeed(REDUCED_SPEED_PERCENT, nowMillis);
    selector.invalidate(worker.get());
    waitLog.recordPlaced(job);
    return true;
  }

  /**
   * Returns whether less than half of the processors of a service are allocated; best-effort tasks
   * allocate none.
   */
  private boolean isMostCapacityFree(String service, long nowMillis) {
    long capacityCpuMillis = 0;
    long freeCpuMillis = 0;
    for (Worker worker : workers.all()) {
      if (worker.evacuation.allowsRuns(nowMillis)
          && worker.listing().filter(listing -> listing.service().equals(service)).isPresent()) {
        capacityCpuMillis += worker.capacityCpuMillis();
        freeCpuMillis += Math.max(0, worker.free().cpuMillis());
      }
    }
    return 2 * freeCpuMillis > capacityCpuMillis;
  }

  private static boolean hasRun(Job job) {
    for (JobStep step : job.openSteps()) {
      for (Task task : step.tasks()) {
        if (!task.runs().isEmpty()) {
          return true;
        }
      }
    }
    return false;
  }
}
