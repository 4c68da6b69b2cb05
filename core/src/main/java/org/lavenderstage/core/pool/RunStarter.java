package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.AttemptReservation;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.Task;

/**
 * Creates the runs that an owner orders, and numbers their attempts. Workers reject a start whose
 * attempt is not higher than those that they have seen of the task, so that attempts rise from
 * owner to owner: each term has a range of its own, and beyond it attempts are given only after
 * they were reserved in the store.
 */
final class RunStarter {
  /** Number of attempts of a task that belong to a term without being reserved. */
  private static final long ATTEMPTS_PER_TERM = 1_000;

  /** Number of attempts of the tasks of a step that are reserved at a time. */
  private static final long ATTEMPTS_PER_RESERVATION = 1_000;

  /**
   * Number of remaining attempts at which more are reserved, so that a task need not wait for the
   * store.
   */
  private static final long MIN_REMAINING_ATTEMPTS = 500;

  private final JobTable jobs;
  private final RunTracker runs;
  private final DecisionLog log;
  private final long firstOfTerm;
  private final long lastOfTerm;

  RunStarter(JobTable jobs, RunTracker runs, long term, DecisionLog log) {
    this.jobs = jobs;
    this.runs = runs;
    this.log = log;
    this.lastOfTerm = term * ATTEMPTS_PER_TERM;
    this.firstOfTerm = lastOfTerm - ATTEMPTS_PER_TERM + 1;
  }

  /** Returns the number of the next attempt of a task. */
  long nextAttempt(Task task) {
    long highestGiven = Math.max(task.lastAttempt(), task.step().attempts().inheritedUpTo());
    return Math.max(highestGiven + 1, firstOfTerm);
  }

  /**
   * Returns whether the next attempt of a task may be given. Reserves further attempts in time.
   *
   * @return whether no later owner gives this attempt
   */
  boolean mayStart(Task task) {
    long next = nextAttempt(task);
    AttemptReservation reservation = task.step().attempts();
    if (next + MIN_REMAINING_ATTEMPTS > Math.max(lastOfTerm, reservation.requestedUpTo())) {
      reservation.request(next + ATTEMPTS_PER_RESERVATION);
      jobs.markProgressChanged(task.step().job());
    }
    return next <= Math.max(lastOfTerm, reservation.storedUpTo());
  }

  /** Creates a run, whose start is ordered next. */
  Run start(Task task, Worker worker, long attempt, long nowMillis) {
    Run run = new Run(task, attempt, worker.id(), Run.State.STARTING, nowMillis);
    runs.track(worker, run);
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
}
