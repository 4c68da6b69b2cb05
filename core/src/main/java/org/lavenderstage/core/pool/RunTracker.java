package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.job.TaskId;

/**
 * Tracks each run from its start order to its end. An unanswered order is repeated with the same
 * attempt number, which a worker carries out only once. A run has ended only when its worker lists
 * it as ended, every copy of its start order was rejected, a later report does not contain it, or
 * the incarnation or the lease of its worker has ended.
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
  private static final int MAX_UNANSWERED_STARTS = 2;

  /** How long a worker gets no runs after it lacked the expected capacity, in milliseconds. */
  private static final long NO_CAPACITY_PAUSE_MILLIS = 300;

  /** How long a worker that reports itself unhealthy gets no runs, in milliseconds. */
  private static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

  private final JobTable jobs;
  private final DecisionLog log;
  private boolean fenced;

  RunTracker(JobTable jobs, DecisionLog log) {
    this.jobs = jobs;
    this.log = log;
  }

  /** Returns whether a worker has rejected an order because it has seen a higher term. */
  boolean isFenced() {
    return fenced;
  }

  /** Records that a worker has seen a higher term. */
  void markFenced() {
    fenced = true;
  }

  /** Handles the result of an order to start a run. */
  void handleStartResult(Worker worker, Run run, OrderResult result, long nowMillis) {
    if (result instanceof OrderResult.Unanswered) {
      worker.unansweredOrders().recordStart(run.task().id(), run.attempt(), nowMillis);
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
        boolean ignoresStarts =
            run.unansweredStarts() >= MAX_UNANSWERED_STARTS && !worker.isUnresponsive();
        if (ignoresStarts && run.state() == Run.State.STARTING) {
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
    }
    if (run.state() == Run.State.RUNNING) {
      return;
    }
    if (run.unansweredStarts() > 0) {
      // The rejection answers only one copy of the start. A stop keeps the worker from carrying out
      // the others.
      stop(run, "an unanswered copy of its start order may still be carried out", nowMillis);
      return;
    }
    release(worker, run);
    run.task().delayUntil(nowMillis + RETRY_PAUSE_MILLIS);
  }

  /** Blocks a worker for a while, and prefers other workers to it until it accepts a start. */
  private static void avoid(Worker worker, long nowMillis) {
    worker.block(nowMillis + UNHEALTHY_PAUSE_MILLIS);
    worker.history().recordStartRejected(true);
  }

  /** Handles the result of an order to stop a run. */
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

  /** Handles the result of an order to set the speed limit of a run. */
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
  }

  /**
   * Handles a worker's report.
   *
   * @param polledAtMillis monotonic time at which the poll was sent
   * @param orders receives orders to stop untracked runs
   */
  void handleReport(
      Worker worker,
      WorkerReport report,
      long polledAtMillis,
      long nowMillis,
      long wallMillis,
      List<Order> orders) {
    Set<Run> reportedRuns = new HashSet<>();
    List<String> adopted = new ArrayList<>();
    for (WorkerReport.EndedTask endedTask : report.ended()) {
      if (endedTask.number() > worker.seenUpTo()) {
        worker.recordSeen(endedTask.number());
        handleEndedTask(worker, endedTask, nowMillis, wallMillis);
      }
    }
    for (WorkerReport.RunningTask runningTask : report.running()) {
      handleRunningTask(worker, runningTask, reportedRuns, adopted, nowMillis, orders);
    }
    if (!adopted.isEmpty()) {
      log.record(Decision.RUN_ADOPTED, "worker", worker.id(), "runs", String.join(" ", adopted));
    }
    if (report.isComplete()) {
      dropUnreported(worker, report, reportedRuns, polledAtMillis);
    }
  }

  private void handleRunningTask(
      Worker worker,
      WorkerReport.RunningTask runningTask,
      Set<Run> reportedRuns,
      List<String> adopted,
      long nowMillis,
      List<Order> orders) {
    Optional<Task> known = jobs.findReportedTask(runningTask.task());
    Optional<Run> run = worker.run(runningTask.task(), runningTask.attempt());
    if (run.isEmpty() && known.isPresent() && isAdoptable(known.get())) {
      run = Optional.of(adopt(worker, known.get(), runningTask, nowMillis));
      adopted.add(runningTask.task() + "/" + runningTask.attempt());
    }
    if (run.isEmpty()) {
      log.record(
          Decision.RUN_STRAY,
          "task",
          runningTask.task(),
          "attempt",
          runningTask.attempt(),
          "worker",
          worker.id());
      orders.add(new Order.StopUntracked(worker, runningTask.task(), runningTask.attempt()));
      return;
    }
    reportedRuns.add(run.get());
    run.get().updateReport(runningTask.percent(), runningTask.load());
    run.get().task().updateCheckpoint(runningTask.checkpoint());
    if (run.get().state() == Run.State.STARTING) {
      run.get().changeState(Run.State.RUNNING, nowMillis);
      recordBegun(run.get().task());
    }
  }

  private static boolean isAdoptable(Task task) {
    boolean free = task.runs().isEmpty() || task.step().spec().speculative();
    return free && !task.isDone() && task.step().job().isActive();
  }

  private Run adopt(
      Worker worker, Task task, WorkerReport.RunningTask runningTask, long nowMillis) {
    Run run = new Run(task, runningTask.attempt(), worker.id(), Run.State.RUNNING, nowMillis);
    if (task.step().spec().filling()) {
      run.setSpeedLimit(
          InterferenceController.impliedSpeedPercent(task.step().spec(), runningTask.load()),
          nowMillis);
      run.markSpeedLimitUncertain();
    }
    track(worker, run);
    recordBegun(task);
    return run;
  }

  /**
   * Marks the runs as lost that a report does not contain, where they entered their state before
   * the worker was polled.
   */
  private void dropUnreported(
      Worker worker, WorkerReport report, Set<Run> reportedRuns, long polledAtMillis) {
    for (Run run : worker.runs()) {
      boolean absenceIsFinal =
          switch (run.state()) {
            case RUNNING, DOUBTFUL -> true;
            // A worker may reject the stop, but no copy of the start is valid after its lease.
            case STOPPING -> run.isTooLateToStart(worker.startedAtMillis(), report.clockMillis());
            case STARTING -> false;
          };
      if (absenceIsFinal
          && run.stateSinceMillis() < polledAtMillis
          && !reportedRuns.contains(run)) {
        markLost(worker, run, "not reported");
      }
    }
  }

  /**
   * Records for the reported long-running tasks that no other run of them can exist. Other tasks
   * stay marked as inherited, since they may have failed on other workers and those failures count.
   */
  void clearInheritedMarks(Worker worker, WorkerReport report) {
    for (WorkerReport.RunningTask runningTask : report.running()) {
      worker
          .run(runningTask.task(), runningTask.attempt())
          .filter(run -> run.task().step().spec().lasting())
          .ifPresent(run -> run.task().clearInherited());
    }
  }

  private void handleEndedTask(
      Worker worker, WorkerReport.EndedTask endedTask, long nowMillis, long wallMillis) {
    log.record(
        Decision.RUN_ENDED,
        "task",
        endedTask.task(),
        "attempt",
        endedTask.attempt(),
        "worker",
        worker.id(),
        "number",
        endedTask.number(),
        "kind",
        endedTask.kind());
    worker
        .run(endedTask.task(), endedTask.attempt())
        .ifPresent(
            run -> {
              worker.recordBestEffortEnd(run, nowMillis);
              release(worker, run);
            });
    updateHistory(worker, endedTask.kind(), nowMillis);
    Optional<Task> task = jobs.findReportedTask(endedTask.task());
    if (task.isEmpty()) {
      return;
    }
    boolean superseded =
        endedTask.attempt() < task.get().lastAttempt() && !task.get().runs().isEmpty();
    task.get().recordAttempt(endedTask.attempt());
    recordBegun(task.get());
    task.get().step().job().markBegun();
    boolean alwaysCounts =
        endedTask.kind() == EndKind.FAILED || task.get().step().spec().speculative();
    if (superseded && !alwaysCounts) {
      return;
    }
    applyResult(task.get(), endedTask, nowMillis, wallMillis);
  }

  private void updateHistory(Worker worker, EndKind kind, long nowMillis) {
    if (kind == EndKind.DONE) {
      worker.history().recordSuccess();
    } else if (kind == EndKind.FAILED) {
      long quarantineMillis = worker.history().recordFailure();
      if (quarantineMillis > 0) {
        worker.block(nowMillis + quarantineMillis);
        log.record(Decision.WORKER_QUARANTINED, "worker", worker.id(), "millis", quarantineMillis);
      }
    }
  }

  private void applyResult(
      Task task, WorkerReport.EndedTask endedTask, long nowMillis, long wallMillis) {
    Job job = task.step().job();
    if (job.phase() != JobPhase.ACTIVE || task.isDone()) {
      return;
    }
    task.updateCheckpoint(endedTask.checkpoint());
    boolean longRunning = task.step().spec().lasting();
    if (endedTask.kind() == EndKind.DONE && !longRunning) {
      job.recordTaskDone(task, wallMillis);
      stopAll(task.step(), Task::isDone, "another copy is done", nowMillis);
    } else if (endedTask.kind() == EndKind.FAILED) {
      job.recordTaskFailure(task, endedTask.attempt(), wallMillis);
    }
    jobs.markProgressChanged(job);
    stopIfEnded(job, nowMillis);
  }

  /** Stops the remaining runs of a job if it has ended. */
  void stopIfEnded(Job job, long nowMillis) {
    if (job.phase() == JobPhase.ACTIVE) {
      return;
    }
    log.record(Decision.JOB_ENDED, "job", job.id(), "phase", job.phase());
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

  /**
   * Stops the runs on a draining worker that can continue on another one, and repeats no starts.
   */
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

  /**
   * Marks the runs of a worker's previous incarnation as lost. Runs that changed their state after
   * the poll was sent, or that the report contains, belong to the new incarnation. An unanswered
   * start may still be carried out by the new incarnation, whose clock was reset; an order to stop
   * the run prevents that. While an unanswered acknowledgement of ended runs may still arrive, the
   * worker gets no runs.
   *
   * @param polledAtMillis monotonic time at which the poll was sent
   * @param orders receives orders to stop untracked runs
   */
  void handleRestart(
      Worker worker, WorkerReport report, long polledAtMillis, long nowMillis, List<Order> orders) {
    Map<TaskId, UnansweredOrders.Start> pendingStarts = worker.unansweredOrders().starts(nowMillis);
    boolean acknowledgementPending =
        worker.unansweredOrders().acknowledgementPendingUntilMillis() > nowMillis;
    if (acknowledgementPending) {
      worker.block(worker.unansweredOrders().acknowledgementPendingUntilMillis());
    }
    for (Run run : worker.runs()) {
      UnansweredOrders.Start start = pendingStarts.get(run.task().id());
      boolean mayStillStart = start != null && start.attempt() == run.attempt();
      boolean startedSince =
          run.stateSinceMillis() >= polledAtMillis
              || report.contains(run.task().id(), run.attempt());
      if (startedSince) {
        continue;
      }
      if (mayStillStart || run.state() == Run.State.STARTING) {
        stop(run, "the worker restarted", nowMillis);
      } else {
        markLost(worker, run, "the worker restarted");
      }
    }
    pendingStarts.forEach(
        (task, start) -> {
          if (worker.run(task, start.attempt()).isEmpty()) {
            orders.add(new Order.StopUntracked(worker, task, start.attempt()));
          }
        });
  }

  /** Stops tracking a run that cannot be running any more. */
  void markLost(Worker worker, Run run, String explanation) {
    logRun(Decision.RUN_LOST, run, "why", explanation);
    release(worker, run);
  }

  /** Records that a task has begun, and that this has to be stored for a later owner. */
  private void recordBegun(Task task) {
    if (task.markBegun()) {
      jobs.markProgressChanged(task.step().job());
    }
  }

  /** Starts to track a run. */
  static void track(Worker worker, Run run) {
    reserve(worker, run);
    run.task().step().job().markBegun();
  }

  /**
   * Allocates the resources of a run that may not have been ordered yet; {@link #release} frees
   * them.
   */
  static void reserve(Worker worker, Run run) {
    run.task().runs().add(run);
    worker.add(run);
  }

  /** Logs a decision about a run, with additional alternating names and values. */
  private void logRun(Decision decision, Run run, Object... namesAndValues) {
    List<Object> details =
        new ArrayList<>(
            List.of("task", run.task().id(), "attempt", run.attempt(), "worker", run.worker()));
    details.addAll(List.of(namesAndValues));
    log.record(decision, details.toArray());
  }

  /** Stops tracking a run, and frees its resources. */
  static void release(Worker worker, Run run) {
    worker.remove(run);
    run.task().runs().remove(run);
  }
}
