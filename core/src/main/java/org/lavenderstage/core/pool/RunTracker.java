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
 * Follows each run from its order to its end. An order without an answer is repeated with the same
 * attempt, which a worker carries out once; a run is over only when its end is listed, every copy
 * of its order was rejected, a later report lacks it, or its worker's life or lease is over.
 */
final class RunTracker {
  /** Pause before an unanswered order is repeated, in milliseconds; a few round trips. */
  static final long REPEAT_MILLIS = 250;

  /** Pause before a task is tried again after a worker did nothing, in milliseconds. */
  private static final long RETRY_MILLIS = 20;

  /**
   * Copies of a start without an answer after which its task goes elsewhere; two calls with their
   * pause take less than half of the time for which a lasting task may wait.
   */
  private static final int MOST_UNANSWERED_STARTS = 2;

  /** How long a worker without the room that was expected gets no runs, in milliseconds. */
  private static final long NO_ROOM_PAUSE_MILLIS = 300;

  /** How long a worker that calls itself unhealthy gets no runs, in milliseconds. */
  private static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

  private final JobTable jobs;
  private final DecisionLog log;
  private boolean fenced;

  RunTracker(JobTable jobs, DecisionLog log) {
    this.jobs = jobs;
    this.log = log;
  }

  boolean isFenced() {
    return fenced;
  }

  void fenced() {
    fenced = true;
  }

  /** Takes the answer to the order to start a run. */
  void startEnded(Worker worker, Run run, OrderResult result, long nowMillis) {
    if (result instanceof OrderResult.Unanswered) {
      worker.openOrders().startLeftOpen(run.task().id(), run.attempt(), nowMillis);
      run.recordStartUnanswered();
    }
    run.recordOrderEnded(nowMillis + REPEAT_MILLIS);
    if (worker.run(run.task().id(), run.attempt()).isEmpty()) {
      return;
    }
    switch (result) {
      case OrderResult.Accepted accepted -> {
        worker.history().refusedStart(false);
        if (run.state() == Run.State.STARTING) {
          run.changeState(Run.State.RUNNING, nowMillis);
          noteBegun(run.task());
        }
      }
      case OrderResult.Rejected rejected ->
          startRejected(worker, run, rejected.reason(), nowMillis);
      case OrderResult.Unanswered unanswered -> {
        note(Decision.ORDER_UNANSWERED, run, "order", "start", "cause", unanswered.cause());
        boolean mute = run.unansweredStarts() >= MOST_UNANSWERED_STARTS && !worker.isSilent();
        if (mute && run.state() == Run.State.STARTING) {
          avoid(worker, nowMillis);
          stop(run, "the worker reports and answers no start", nowMillis);
        }
      }
      case OrderResult.Reported reported ->
          throw new IllegalArgumentException("a start is no report");
    }
  }

  private void startRejected(Worker worker, Run run, Rejection reason, long nowMillis) {
    note(
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
        worker.holdSoon(nowMillis);
        return;
      }
      case NO_ROOM -> worker.block(nowMillis + NO_ROOM_PAUSE_MILLIS);
      case UNHEALTHY -> avoid(worker, nowMillis);
      case MALFORMED -> worker.block(nowMillis + UNHEALTHY_PAUSE_MILLIS);
      case OTHER_INCARNATION, LATE, NO_TICKET -> worker.holdSoon(nowMillis);
    }
    if (run.state() == Run.State.RUNNING) {
      return;
    }
    if (run.unansweredStarts() > 0) {
      // The rejection answers one copy of the order; a stop keeps the worker from the others.
      stop(run, "an unanswered copy of its order may still be carried out", nowMillis);
      return;
    }
    release(worker, run);
    run.task().delayUntil(nowMillis + RETRY_MILLIS);
  }

  /** Prefers others to a worker that does nothing about starts, also once it is asked again. */
  private static void avoid(Worker worker, long nowMillis) {
    worker.block(nowMillis + UNHEALTHY_PAUSE_MILLIS);
    worker.history().refusedStart(true);
  }

  /** Takes the answer to the order to stop a run. */
  void stopEnded(Worker worker, Run run, OrderResult result, long nowMillis) {
    switch (result) {
      case OrderResult.Accepted accepted -> {
        run.changeState(Run.State.DOUBTFUL, nowMillis);
        run.recordOrderEnded(Long.MAX_VALUE);
        worker.holdSoon(nowMillis);
      }
      case OrderResult.Rejected rejected -> {
        run.recordOrderEnded(nowMillis + REPEAT_MILLIS);
        fenced |= rejected.reason() == Rejection.FENCED;
        note(Decision.ORDER_REJECTED, run, "order", "stop", "reason", rejected.reason());
      }
      case OrderResult.Unanswered unanswered -> {
        run.recordOrderEnded(nowMillis + REPEAT_MILLIS);
        note(Decision.ORDER_UNANSWERED, run, "order", "stop", "cause", unanswered.cause());
      }
      case OrderResult.Reported reported ->
          throw new IllegalArgumentException("a stop is no report");
    }
  }

  /** Takes the answer to the order to let a run work at a share of its speed. */
  void paceEnded(Run run, OrderResult result) {
    if (result instanceof OrderResult.Accepted) {
      return;
    }
    fenced |=
        result instanceof OrderResult.Rejected rejected && rejected.reason() == Rejection.FENCED;
    run.markPaceUncertain();
  }

  /** Marks a run as one to stop. */
  void stop(Run run, String why, long nowMillis) {
    if (run.state() == Run.State.STOPPING) {
      return;
    }
    note(Decision.RUN_STOPPED, run, "why", why);
    run.changeState(Run.State.STOPPING, nowMillis);
  }

  /** Takes a worker's report, whose order was sent at a given time. */
  void reported(
      Worker worker,
      WorkerReport report,
      long sentAt,
      long nowMillis,
      long wallMillis,
      List<Order> orders) {
    Set<Run> seen = new HashSet<>();
    List<String> adopted = new ArrayList<>();
    for (WorkerReport.EndedTask end : report.ended()) {
      if (end.number() > worker.seenUpTo()) {
        worker.seen(end.number());
        ended(worker, end, nowMillis, wallMillis);
      }
    }
    for (WorkerReport.RunningTask row : report.running()) {
      running(worker, row, seen, adopted, nowMillis, orders);
    }
    if (!adopted.isEmpty()) {
      log.record(Decision.RUN_ADOPTED, "worker", worker.id(), "runs", String.join(" ", adopted));
    }
    if (report.isComplete()) {
      dropMissing(worker, report, seen, sentAt);
    }
  }

  private void running(
      Worker worker,
      WorkerReport.RunningTask row,
      Set<Run> seen,
      List<String> adopted,
      long nowMillis,
      List<Order> orders) {
    Optional<Task> known = jobs.startedTask(row.task());
    Optional<Run> run = worker.run(row.task(), row.attempt());
    if (run.isEmpty() && known.isPresent() && mayAdopt(known.get())) {
      run = Optional.of(adopt(worker, known.get(), row, nowMillis));
      adopted.add(row.task() + "/" + row.attempt());
    }
    if (run.isEmpty()) {
      log.record(
          Decision.RUN_STRAY, "task", row.task(), "attempt", row.attempt(), "worker", worker.id());
      orders.add(new Order.StopUntracked(worker, row.task(), row.attempt()));
      return;
    }
    seen.add(run.get());
    run.get().updateReport(row.percent(), row.load());
    run.get().task().updateCheckpoint(row.checkpoint());
    if (run.get().state() == Run.State.STARTING) {
      run.get().changeState(Run.State.RUNNING, nowMillis);
      noteBegun(run.get().task());
    }
  }

  private static boolean mayAdopt(Task task) {
    boolean free = task.runs().isEmpty() || task.step().spec().speculative();
    return free && !task.isDone() && task.step().job().isActive();
  }

  private Run adopt(Worker worker, Task task, WorkerReport.RunningTask row, long nowMillis) {
    Run run = new Run(task, row.attempt(), worker.id(), Run.State.RUNNING, nowMillis);
    if (task.step().spec().filling()) {
      run.setPace(
          InterferenceController.impliedSpeedPercent(task.step().spec(), row.load()), nowMillis);
      run.markPaceUncertain();
    }
    track(worker, run);
    noteBegun(task);
    return run;
  }

  /** Drops the runs that a report, asked for after they were certain, does not name any more. */
  private void dropMissing(Worker worker, WorkerReport report, Set<Run> seen, long sentAt) {
    for (Run run : worker.runs()) {
      boolean certain =
          switch (run.state()) {
            case RUNNING, DOUBTFUL -> true;
            // A worker may reject stops; the lease that every copy of the start names still ends.
            case STOPPING -> run.isTooLateToStart(worker.startedAtMillis(), report.clockMillis());
            case STARTING -> false;
          };
      if (certain && run.stateSinceMillis() < sentAt && !seen.contains(run)) {
        lost(worker, run, "not reported");
      }
    }
  }

  /**
   * Notes of the lasting tasks that a report shows at work that nothing else of them is under way.
   * Others may have failed elsewhere, and those failures count.
   */
  void settle(Worker worker, WorkerReport report) {
    for (WorkerReport.RunningTask row : report.running()) {
      worker
          .run(row.task(), row.attempt())
          .filter(run -> run.task().step().spec().lasting())
          .ifPresent(run -> run.task().clearInherited());
    }
  }

  private void ended(Worker worker, WorkerReport.EndedTask end, long nowMillis, long wallMillis) {
    log.record(
        Decision.RUN_ENDED,
        "task",
        end.task(),
        "attempt",
        end.attempt(),
        "worker",
        worker.id(),
        "number",
        end.number(),
        "kind",
        end.kind());
    worker
        .run(end.task(), end.attempt())
        .ifPresent(
            run -> {
              worker.fillerEnded(run, nowMillis);
              release(worker, run);
            });
    count(worker, end.kind(), nowMillis);
    Optional<Task> task = jobs.startedTask(end.task());
    if (task.isEmpty()) {
      return;
    }
    boolean superseded = end.attempt() < task.get().lastAttempt() && !task.get().runs().isEmpty();
    task.get().recordAttempt(end.attempt());
    noteBegun(task.get());
    task.get().step().job().markBegun();
    boolean counts = end.kind() == EndKind.FAILED || task.get().step().spec().speculative();
    if (superseded && !counts) {
      return;
    }
    apply(task.get(), end, nowMillis, wallMillis);
  }

  private void count(Worker worker, EndKind kind, long nowMillis) {
    if (kind == EndKind.DONE) {
      worker.history().succeeded();
    } else if (kind == EndKind.FAILED) {
      long pause = worker.history().failed();
      if (pause > 0) {
        worker.block(nowMillis + pause);
        log.record(Decision.WORKER_QUARANTINED, "worker", worker.id(), "millis", pause);
      }
    }
  }

  private void apply(Task task, WorkerReport.EndedTask end, long nowMillis, long wallMillis) {
    Job job = task.step().job();
    if (job.phase() != JobPhase.ACTIVE || task.isDone()) {
      return;
    }
    task.updateCheckpoint(end.checkpoint());
    boolean lasting = task.step().spec().lasting();
    if (end.kind() == EndKind.DONE && !lasting) {
      job.recordTaskDone(task, wallMillis);
      stopAll(task.step(), Task::isDone, "another copy is done", nowMillis);
    } else if (end.kind() == EndKind.FAILED) {
      job.recordTaskFailure(task, end.attempt(), wallMillis);
    }
    jobs.changed(job);
    endedJob(job, nowMillis);
  }

  /** Stops what is left of a job that has ended. */
  void endedJob(Job job, long nowMillis) {
    if (job.phase() == JobPhase.ACTIVE) {
      return;
    }
    log.record(Decision.JOB_ENDED, "job", job.id(), "phase", job.phase());
    for (JobStep step : job.openSteps()) {
      stopAll(step, task -> true, "the job has ended", nowMillis);
    }
  }

  private void stopAll(JobStep step, Predicate<Task> which, String why, long nowMillis) {
    for (Task task : step.tasks()) {
      if (which.test(task)) {
        task.runs().forEach(run -> stop(run, why, nowMillis));
      }
    }
  }

  /**
   * Stops what can go on elsewhere on a worker that is about to leave, and starts nothing there.
   */
  void evacuate(Worker worker, long nowMillis) {
    for (Run run : worker.runs()) {
      StepSpec spec = run.task().step().spec();
      boolean movable = spec.lasting() || spec.checkpointing();
      boolean repeated = run.state() == Run.State.STARTING && run.isOrderDue(nowMillis);
      if (repeated || (run.state() == Run.State.RUNNING && movable)) {
        stop(run, "the worker leaves", nowMillis);
      }
    }
  }

  /**
   * Gives up the runs of a worker's former life; those that began after the report was asked for,
   * or that it names, belong to the new one. A start that got no answer may yet be carried out in
   * the new life, whose clock started anew; an order to stop that run prevents it. Where an order
   * to forget ends is open in the same way, the worker gets no runs until that has passed.
   */
  void reborn(Worker worker, WorkerReport report, long sentAt, long nowMillis, List<Order> orders) {
    Map<TaskId, OpenOrders.Start> open = worker.openOrders().starts(nowMillis);
    boolean forgets = worker.openOrders().forgettingUntil() > nowMillis;
    if (forgets) {
      worker.block(worker.openOrders().forgettingUntil());
    }
    for (Run run : worker.runs()) {
      OpenOrders.Start start = open.get(run.task().id());
      boolean mayStart = start != null && start.attempt() == run.attempt();
      boolean startedSince =
          run.stateSinceMillis() >= sentAt || report.contains(run.task().id(), run.attempt());
      if (startedSince) {
        continue;
      }
      if (mayStart || run.state() == Run.State.STARTING) {
        stop(run, "the worker restarted", nowMillis);
      } else {
        lost(worker, run, "the worker restarted");
      }
    }
    open.forEach(
        (task, start) -> {
          if (worker.run(task, start.attempt()).isEmpty()) {
            orders.add(new Order.StopUntracked(worker, task, start.attempt()));
          }
        });
  }

  /** Gives up a run that cannot be under way any more. */
  void lost(Worker worker, Run run, String why) {
    note(Decision.RUN_LOST, run, "why", why);
    release(worker, run);
  }

  /** Notes that a run of a task is or was at work, which a later owner has to know. */
  private void noteBegun(Task task) {
    if (task.markBegun()) {
      jobs.changed(task.step().job());
    }
  }

  /** Keeps account of a run from now on. */
  static void track(Worker worker, Run run) {
    reserve(worker, run);
    run.task().step().job().markBegun();
  }

  /** Takes the room of a run that need not have been ordered; {@link #release} gives it back. */
  static void reserve(Worker worker, Run run) {
    run.task().runs().add(run);
    worker.add(run);
  }

  /** Records a decision about a run, with further names and values in turn. */
  private void note(Decision decision, Run run, Object... namesAndValues) {
    List<Object> all =
        new ArrayList<>(
            List.of("task", run.task().id(), "attempt", run.attempt(), "worker", run.worker()));
    all.addAll(List.of(namesAndValues));
    log.record(decision, all.toArray());
  }

  /** Ends the account of a run. */
  static void release(Worker worker, Run run) {
    worker.remove(run);
    run.task().runs().remove(run);
  }
}
