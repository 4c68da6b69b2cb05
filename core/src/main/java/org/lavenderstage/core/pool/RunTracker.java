package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/**
 * Tracks runs from start to end. An unanswered order is repeated with its attempt number, which a
 * worker executes only once. A run has ended only if its worker lists it as ended, all copies of
 * its start were rejected, a later report lacks it, or the worker's incarnation or lease ended.
 */
final class RunTracker {
  /** Pause before an unanswered order is repeated, in milliseconds; a few network round trips. */
  static final long REPEAT_PAUSE_MILLIS = 250;

  /** Pause before a task is placed again after a worker rejected its start, in milliseconds. */
  private static final long RETRY_PAUSE_MILLIS = 20;

  /**
   * Number of unanswered start orders after which a task is placed on another worker. Two calls and
   * the pause between them take less than half of the time for which a long-running task may wait.
   */
  private static final int MAX_UNANSWERED = 2;

  /** How long a worker gets no runs after it lacked the expected capacity, in milliseconds. */
  private static final long NO_CAPACITY_PAUSE_MILLIS = 300;

  /** How long a worker that reports itself unhealthy gets no runs, in milliseconds. */
  private static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

  private final JobTable jobs;
  private final DecisionLog log;
  private final RunOutcomes outcomes;
  final RunsAwaitingOrder awaitingOrder = new RunsAwaitingOrder();
  final RunTimes runTimes = new RunTimes();
  private boolean fenced;

  RunTracker(JobTable jobs, DecisionLog log) {
    this.jobs = jobs;
    this.log = log;
    outcomes = new RunOutcomes(log);
  }

  /** Returns whether a worker has rejected an order because it has seen a higher term. */
  boolean isFenced() {
    return fenced;
  }

  void markFenced() {
    fenced = true;
  }

  void handleStartResult(Order.Start start, OrderResult result, long nowMillis) {
    Worker worker = start.worker();
    Run run = start.run();
    if (result instanceof OrderResult.Unanswered) {
      if (!run.isOnlyStartCarriedOut()) {
        worker.unansweredOrders().recordStart(start, nowMillis);
      }
      run.recordStartUnanswered();
    }
    run.recordOrderEnded(nowMillis + REPEAT_PAUSE_MILLIS);
    if (worker.run(run.task().id(), run.attempt()).isEmpty()) {
      return;
    }
    switch (result) {
      case OrderResult.Accepted accepted -> {
        worker.history().recordStartRejected(false);
        if (run.state() == Run.State.STARTING) {
          run.changeState(Run.State.RUNNING, nowMillis);
          recordBegun(run.task());
        }
      }
      case OrderResult.Rejected rejected ->
          handleStartRejection(worker, run, rejected.reason(), nowMillis);
      case OrderResult.Unanswered unanswered -> {
        logRun(Decision.ORDER_UNANSWERED, run, "order", "start", "cause", unanswered.cause());
        boolean startIgnored = run.unansweredStarts() >= MAX_UNANSWERED && !worker.isUnresponsive();
        if (startIgnored && run.state() == Run.State.STARTING) {
          avoid(worker, nowMillis);
          stop(run, "the worker sends reports but does not answer starts", nowMillis);
        }
      }
      case OrderResult.Reported reported ->
          throw new IllegalArgumentException("expected a result of a start order, found a report");
    }
  }

  private void handleStartRejection(Worker worker, Run run, Rejection reason, long nowMillis) {
    logRun(
        Decision.ORDER_REJECTED,
        run,
        "order",
        "start",
        "reason",
        reason,
        "unanswered-copies",
        run.unansweredStarts());
    switch (reason) {
      case FENCED -> fenced = true;
      case OUTDATED -> {
        run.changeState(Run.State.DOUBTFUL, nowMillis);
        worker.pollSoon(nowMillis);
        return;
      }
      case NO_ROOM -> worker.block(nowMillis + NO_CAPACITY_PAUSE_MILLIS);
      case UNHEALTHY -> avoid(worker, nowMillis);
      case MALFORMED -> worker.block(nowMillis + UNHEALTHY_PAUSE_MILLIS);
      case OTHER_INCARNATION, LATE, NO_TICKET -> worker.pollSoon(nowMillis);
      case SUPERSEDED -> {
        // The report that confirms the raised token shows whether another copy was carried out.
        return;
      }
    }
    if (run.state() == Run.State.RUNNING) {
      return;
    }
    if (run.unansweredStarts() > 0) {
      // Only one copy of the start is rejected; a stop keeps the worker from executing the others.
      stop(run, "an unanswered copy of its start order may still be carried out", nowMillis);
      return;
    }
    release(worker, run);
    run.task().recordAttemptUnused(run.attempt());
    run.task().delayUntil(nowMillis + RETRY_PAUSE_MILLIS);
  }

  /** Blocks a worker for a while, and prefers other workers to it until it accepts a start. */
  private static void avoid(Worker worker, long nowMillis) {
    worker.block(nowMillis + UNHEALTHY_PAUSE_MILLIS);
    worker.history().recordStartRejected(true);
  }

  void handleStopResult(Worker worker, Run run, OrderResult result, long nowMillis) {
    switch (result) {
      case OrderResult.Accepted accepted -> {
        run.changeState(Run.State.DOUBTFUL, nowMillis);
        run.recordOrderEnded(Long.MAX_VALUE);
        worker.pollSoon(nowMillis);
      }
      case OrderResult.Rejected rejected -> {
        run.recordOrderEnded(nowMillis + REPEAT_PAUSE_MILLIS);
        fenced |= rejected.reason() == Rejection.FENCED;
        logRun(Decision.ORDER_REJECTED, run, "order", "stop", "reason", rejected.reason());
      }
      case OrderResult.Unanswered unanswered -> {
        run.recordOrderEnded(nowMillis + REPEAT_PAUSE_MILLIS);
        logRun(Decision.ORDER_UNANSWERED, run, "order", "stop", "cause", unanswered.cause());
      }
      case OrderResult.Reported reported ->
          throw new IllegalArgumentException("expected a result of a stop order, found a report");
    }
  }

  void handleSpeedLimitResult(Run run, OrderResult result) {
    if (result instanceof OrderResult.Accepted) {
      return;
    }
    fenced |=
        result instanceof OrderResult.Rejected rejected && rejected.reason() == Rejection.FENCED;
    run.markSpeedLimitUncertain();
  }

  /** Marks a run to be stopped. */
  void stop(Run run, String explanation, long nowMillis) {
    if (run.state() == Run.State.STOPPING) {
      return;
    }
    logRun(Decision.RUN_STOPPED, run, "why", explanation);
    run.changeState(Run.State.STOPPING, nowMillis);
    awaitingOrder.add(run);
  }

  /** Handles the report to a poll sent at a monotonic time; adds orders to stop untracked runs. */
  void handleReport(
      Worker worker,
      WorkerReport report,
      long polledMillis,
      long nowMillis,
      long wallMillis,
      List<Order> orders) {
    Set<Run> seen = new HashSet<>();
    List<String> adopted = new ArrayList<>();
    for (WorkerReport.EndedTask ended : report.ended()) {
      if (ended.number() > worker.ends().seenUpTo()) {
        worker.ends().recordSeen(ended.number());
        handleEndedTask(worker, ended, nowMillis, wallMillis);
      }
    }
    worker.untrackedRuns.clear();
    for (WorkerReport.RunningTask active : report.running()) {
      handleRunningTask(worker, active, seen, adopted, nowMillis, orders);
    }
    if (!adopted.isEmpty()) {
      log.record(Decision.RUN_ADOPTED, "worker", worker.id(), "runs", String.join(" ", adopted));
    }
    if (report.isComplete() && worker.fence().isConfirmed()) {
      dropMissing(worker, report, seen, polledMillis);
    }
  }

  private void handleRunningTask(
      Worker worker,
      WorkerReport.RunningTask active,
      Set<Run> seen,
      List<String> adopted,
      long nowMillis,
      List<Order> orders) {
    Optional<Task> known = jobs.findReportedTask(active.task());
    Optional<Run> run = worker.run(active.task(), active.attempt());
    if (run.isEmpty() && known.isPresent() && isAdoptable(known.get())) {
      run = Optional.of(adopt(worker, known.get(), active, nowMillis));
      adopted.add(active.task() + "/" + active.attempt());
    }
    if (run.isEmpty()) {
      log.record(
          Decision.RUN_STRAY,
          "task",
          active.task(),
          "attempt",
          active.attempt(),
          "worker",
          worker.id());
      jobs.findSpec(active.task())
          .ifPresent(spec -> worker.untrackedRuns.add(active.task(), Worker.demand(spec)));
      orders.add(new Order.StopUntracked(worker, active.task(), active.attempt()));
      return;
    }
    seen.add(run.get());
    if (run.get().isStartedOnce() && worker.fence().isConfirmed()) {
      run.get().markOnlyStartCarriedOut();
      worker.unansweredOrders().recordCarriedOut(active.task(), active.attempt());
    }
    run.get().updateReport(active.percent(), active.load());
    run.get().task().updateCheckpoint(active.checkpoint());
    outcomes.recordActive(run.get(), nowMillis);
    if (run.get().state() == Run.State.STARTING) {
      run.get().changeState(Run.State.RUNNING, nowMillis);
      recordBegun(run.get().task());
    }
  }

  private static boolean isAdoptable(Task task) {
    boolean free = task.runs().isEmpty() || task.step().spec().speculative();
    return free && !task.isDone() && task.step().job().isActive();
  }

  private Run adopt(Worker worker, Task task, WorkerReport.RunningTask active, long nowMillis) {
    Run run = new Run(task, active.attempt(), worker.id(), Run.State.RUNNING, nowMillis);
    if (task.step().spec().filling()) {
      run.setSpeedLimit(
          InterferenceController.impliedSpeedPercent(task.step().spec(), active.load()), nowMillis);
      run.markSpeedLimitUncertain();
    }
    track(worker, run);
    if (worker.isInherited()) {
      worker.unansweredOrders().recordInherited(task.id(), run.attempt(), false, nowMillis);
    }
    recordBegun(task);
    return run;
  }

  /** Marks the unreported runs as lost that entered their state before the worker was polled. */
  private void dropMissing(Worker worker, WorkerReport report, Set<Run> seen, long polledMillis) {
    for (Run run : worker.runs()) {
      boolean absenceIsFinal =
          switch (run.state()) {
            case RUNNING, DOUBTFUL -> true;
            // A worker may reject the stop, but no copy of the start is valid after its lease.
            case STOPPING -> run.isTooLateToStart(worker.startedAtMillis(), report.clockMillis());
            case STARTING -> false;
          };
      if (absenceIsFinal && run.stateSinceMillis() < polledMillis && !seen.contains(run)) {
        markLost(worker, run, "not reported");
      }
    }
  }

  /**
   * Records for the reported long-running tasks that no other run of them can exist. Other tasks
   * stay marked as inherited, since they may have failed on other workers and those failures count.
   */
  void clearInheritedMarks(Worker worker, WorkerReport report) {
    for (WorkerReport.RunningTask active : report.running()) {
      worker
          .run(active.task(), active.attempt())
          .filter(run -> run.task().step().spec().lasting())
          .ifPresent(run -> run.task().clearInherited());
    }
  }

  private void handleEndedTask(
      Worker worker, WorkerReport.EndedTask ended, long nowMillis, long wallMillis) {
    log.record(
        Decision.RUN_ENDED,
        "task",
        ended.task(),
        "attempt",
        ended.attempt(),
        "worker",
        worker.id(),
        "number",
        ended.number(),
        "kind",
        ended.kind());
    worker
        .run(ended.task(), ended.attempt())
        .ifPresent(
            run -> {
              worker.recordBestEffortEnd(run, nowMillis);
              if (ended.kind() == EndKind.DONE) {
                runTimes.recordDone(run, nowMillis);
              } else if (ended.kind() == EndKind.FAILED && run.state() != Run.State.STOPPING) {
                outcomes.recordFailedRun(worker, run, nowMillis);
              }
              release(worker, run);
            });
    Optional<Task> task = jobs.findReportedTask(ended.task());
    if (task.isEmpty()) {
      return;
    }
    outcomes.recordEnd(worker, task.get(), ended.kind(), nowMillis);
    boolean superseded = ended.attempt() < task.get().lastAttempt() && !task.get().runs().isEmpty();
    task.get().recordAttempt(ended.attempt());
    recordBegun(task.get());
    boolean alwaysCounts = ended.kind() == EndKind.FAILED || task.get().step().spec().speculative();
    if (superseded && !alwaysCounts) {
      return;
    }
    applyEnd(task.get(), ended, nowMillis, wallMillis);
  }

  private void applyEnd(Task task, WorkerReport.EndedTask ended, long nowMillis, long wallMillis) {
    Job job = task.step().job();
    if (job.phase() != JobPhase.ACTIVE || task.isDone()) {
      return;
    }
    boolean countedBefore =
        ended.kind() == EndKind.FAILED && !job.recordTaskFailure(task, ended.attempt(), wallMillis);
    if (countedBefore && !task.step().spec().gang()) {
      // A worker lists an end until it is acknowledged; the checkpoint may be outdated by now.
      return;
    }
    task.updateCheckpoint(ended.checkpoint());
    boolean longRunning = task.step().spec().lasting();
    if (ended.kind() == EndKind.DONE && !longRunning) {
      job.recordTaskDone(task, wallMillis);
      stopAll(task.step(), Task::isDone, "another copy is done", nowMillis);
    }
    jobs.markProgressChanged(job);
    stopIfEnded(job, nowMillis);
  }

  void stopIfEnded(Job job, long nowMillis) {
    if (job.phase() == JobPhase.ACTIVE) {
      return;
    }
    log.record(Decision.JOB_ENDED, "job", job.id(), "phase", job.phase());
    outcomes.removeJob(job);
    for (JobStep step : job.openSteps()) {
      stopAll(step, task -> true, "the job has ended", nowMillis);
    }
  }

  private void stopAll(JobStep step, Predicate<Task> selected, String explanation, long nowMillis) {
    for (Task task : step.tasks()) {
      if (selected.test(task)) {
        task.runs().forEach(run -> stop(run, explanation, nowMillis));
      }
    }
  }

  /** Stops the runs of a draining worker that can continue elsewhere, and repeats no starts. */
  void evacuate(Worker worker, long nowMillis) {
    for (Run run : worker.runs()) {
      StepSpec spec = run.task().step().spec();
      boolean movable = spec.lasting() || spec.checkpointing();
      boolean startRepeatDue = run.state() == Run.State.STARTING && run.isOrderDue(nowMillis);
      if (startRepeatDue || (run.state() == Run.State.RUNNING && movable)) {
        stop(run, "the worker is draining", nowMillis);
      }
    }
  }

  /** Stops tracking a run that cannot be running any more. */
  void markLost(Worker worker, Run run, String explanation) {
    logRun(Decision.RUN_LOST, run, "why", explanation);
    release(worker, run);
  }

  /** Records that a task has begun, and that this has to be stored for a later owner. */
  private void recordBegun(Task task) {
    task.step().job().markBegun();
    if (task.markBegun()) {
      jobs.markProgressChanged(task.step().job());
    }
  }

  void track(Worker worker, Run run) {
    reserve(worker, run);
    awaitingOrder.add(run);
  }

  /** Allocates the resources of a run, maybe not ordered yet; {@link #release} frees them. */
  static void reserve(Worker worker, Run run) {
    run.task().runs().add(run);
    worker.add(run);
  }

  private void logRun(Decision decision, Run run, Object... namesAndValues) {
    List<Object> details =
        new ArrayList<>(
            List.of("task", run.task().id(), "attempt", run.attempt(), "worker", run.worker()));
    details.addAll(List.of(namesAndValues));
    log.record(decision, details.toArray());
  }

  /** Stops tracking a run, and frees its resources. */
  void release(Worker worker, Run run) {
    awaitingOrder.remove(run);
    worker.remove(run);
    run.task().runs().remove(run);
  }
}
