package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** One task of a step, with its progress and the runs that may be active. */
public final class Task {
  private static final long NOT_INTERRUPTED = Long.MIN_VALUE;

  private final TaskId id;
  private final JobStep step;
  private final List<Run> runs = new ArrayList<>(1);
  private boolean done;
  private int failures;
  private long lastAttempt;
  private long unusedAttempt;
  private final Set<Long> failedAttempts = new TreeSet<>();
  private String checkpoint = "";
  private long notBeforeMillis;
  private int earlyFailures;
  private long lastEarlyFailure;
  private long avoidsSuspectsUntilMillis = Long.MIN_VALUE;
  private boolean inherited;
  private boolean begun;
  private long interruptedSinceMillis = NOT_INTERRUPTED;

  Task(TaskId id, JobStep step) {
    this.id = id;
    this.step = step;
  }

  /**
   * Returns the identifier of the task.
   *
   * @return the identifier
   */
  public TaskId id() {
    return id;
  }

  /**
   * Returns the step that the task belongs to.
   *
   * @return the step
   */
  public JobStep step() {
    return step;
  }

  /**
   * Returns the runs that were sent to workers and have not ended. There is more than one only with
   * speculative copies, or while an untracked run is being stopped.
   *
   * @return the runs, modifiable
   */
  public List<Run> runs() {
    return runs;
  }

  /**
   * Returns whether the task is done.
   *
   * @return whether a run of the task has succeeded
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the number of failed runs.
   *
   * @return the number of failed runs
   */
  public int failures() {
    return failures;
  }

  /**
   * Returns the newest checkpoint.
   *
   * @return the checkpoint, empty for none
   */
  public String checkpoint() {
    return checkpoint;
  }

  /**
   * Replaces the checkpoint by a newer one.
   *
   * @param newest the newer checkpoint; an empty one is ignored
   */
  public void updateCheckpoint(String newest) {
    if (!newest.isEmpty()) {
      checkpoint = newest;
    }
  }

  /**
   * Returns the highest attempt that was ever sent to or reported by a worker.
   *
   * @return the number of the attempt, 0 for none
   */
  public long lastAttempt() {
    return lastAttempt;
  }

  /**
   * Records an attempt that was sent to or reported by a worker.
   *
   * @param attempt number of the attempt
   */
  public void recordAttempt(long attempt) {
    lastAttempt = Math.max(lastAttempt, attempt);
    unusedAttempt = attempt < unusedAttempt ? unusedAttempt : 0;
  }

  /**
   * Records that no worker has carried out, or ever will carry out, the start of the latest run.
   *
   * @param attempt number of the attempt
   */
  public void recordAttemptUnused(long attempt) {
    unusedAttempt = attempt == lastAttempt ? attempt : 0;
  }

  /**
   * Returns the attempt of the latest run if no worker has carried out its start.
   *
   * @return the number of the attempt, 0 if the latest run may have begun
   */
  public long unusedAttempt() {
    return unusedAttempt;
  }

  /**
   * Delays the next run of the task.
   *
   * @param monotonicMillis monotonic time in milliseconds before which the task is not started
   */
  public void delayUntil(long monotonicMillis) {
    notBeforeMillis = monotonicMillis;
  }

  /**
   * Returns whether the task itself is ready to be started on a worker.
   *
   * @param monotonicMillis monotonic time in milliseconds
   * @return whether the task is not done, has no run, and the pause after its last run is over
   */
  public boolean isWaiting(long monotonicMillis) {
    return !done && runs.isEmpty() && monotonicMillis >= notBeforeMillis;
  }

  /**
   * Returns whether a previous owner may have started this task on a worker that has not reported
   * yet, or runs of it may have failed there.
   *
   * @return whether the task belongs to a job loaded from the store and such runs are not ruled out
   */
  public boolean isInherited() {
    return inherited;
  }

  /**
   * Returns whether this is a long-running task that has lost its run and waits for another one. A
   * task whose runs fail again and again has lost nothing that others would have to leave to it.
   *
   * @param monotonicMillis monotonic time in milliseconds
   * @return whether the task is interrupted
   */
  public boolean isInterrupted(long monotonicMillis) {
    return begun && !failsRepeatedly() && isWaiting(monotonicMillis);
  }

  /**
   * Returns whether the latest runs of the task, or of its gang, failed soon after their start, so
   * that it is started again after growing pauses only.
   *
   * @return whether the restarts are paced
   */
  public boolean failsRepeatedly() {
    return FailureBackoff.isPaced(step.countingTask(this).earlyFailures);
  }

  /**
   * Records that a run of the task failed. If several in a row failed soon after their start, the
   * next one is delayed. A failure on a suspect worker tells little of the task; it avoids such
   * workers for a while.
   *
   * @param attempt number of the run
   * @param ranMillis how long it was active, in milliseconds
   * @param suspectWorker whether the latest runs of another step failed on the worker too
   * @param monotonicMillis monotonic time in milliseconds
   * @return the pause before the next run in milliseconds, 0 for none
   */
  public long recordFailedRun(
      long attempt, long ranMillis, boolean suspectWorker, long monotonicMillis) {
    Task counting = step.countingTask(this);
    if (ranMillis >= FailureBackoff.MIN_SOUND_MILLIS) {
      counting.earlyFailures = 0;
      return 0;
    }
    if (suspectWorker) {
      counting.avoidsSuspectsUntilMillis =
          monotonicMillis + FailureBackoff.maxPauseMillis(step.spec().lasting());
      return 0;
    }
    if (attempt <= counting.lastEarlyFailure) {
      // Another member of the gang has failed in the same attempt.
      return 0;
    }
    counting.lastEarlyFailure = attempt;
    counting.earlyFailures++;
    long pauseMillis = FailureBackoff.pauseMillis(counting.earlyFailures, step.spec().lasting());
    counting.delayUntil(monotonicMillis + pauseMillis);
    return pauseMillis;
  }

  /**
   * Returns whether the task is not to be started on suspect workers, as its latest run failed on
   * one.
   *
   * @param monotonicMillis monotonic time in milliseconds
   * @return whether the task avoids them
   */
  public boolean avoidsSuspects(long monotonicMillis) {
    return monotonicMillis < step.countingTask(this).avoidsSuspectsUntilMillis;
  }

  /**
   * Records that a run of the task is active.
   *
   * @param activeMillis for how long, in milliseconds
   * @return whether this is long enough that the task is not one that fails soon after its start
   */
  public boolean recordActive(long activeMillis) {
    boolean sound = activeMillis >= FailureBackoff.MIN_SOUND_MILLIS;
    if (sound) {
      step.countingTask(this).earlyFailures = 0;
    }
    return sound;
  }

  /**
   * Records that the task was found interrupted.
   *
   * @param monotonicMillis monotonic time in milliseconds
   * @return monotonic time in milliseconds at which it was first found so since its last run
   */
  public long recordInterrupted(long monotonicMillis) {
    if (interruptedSinceMillis == NOT_INTERRUPTED) {
      interruptedSinceMillis = monotonicMillis;
    }
    return interruptedSinceMillis;
  }

  /**
   * Returns whether this is a long-running task that has already run.
   *
   * @return whether a run is known to this owner or was stored by a previous one
   */
  public boolean hasBegun() {
    return begun;
  }

  /**
   * Records that a run of the task is or was active, if the task is long-running.
   *
   * @return whether this was not known before and has to be stored
   */
  public boolean markBegun() {
    interruptedSinceMillis = NOT_INTERRUPTED;
    boolean isNew = step.spec().lasting() && !begun;
    begun |= isNew;
    return isNew;
  }

  void setInherited() {
    inherited = true;
  }

  /** Records that no previous owner can have started a run of this task that is not known. */
  public void clearInherited() {
    inherited = false;
  }

  boolean markDone() {
    boolean wasOpen = !done;
    done = true;
    return wasOpen;
  }

  /**
   * Counts a failed run once, however often and in whatever order workers report its end to this
   * owner or a later one. No limit depends on the number for a long-running task, and its runs may
   * fail any number of times, so that their attempts are not kept.
   *
   * @return whether the run was not counted before
   */
  boolean markFailed(long attempt) {
    boolean isNew = step.spec().lasting() || failedAttempts.add(attempt);
    failures += isNew ? 1 : 0;
    return isNew;
  }

  /** Returns the attempts of the failed runs that are counted; none of a long-running task. */
  List<Long> failedAttempts() {
    return List.copyOf(failedAttempts);
  }

  void restore(boolean wasDone, String savedCheckpoint, boolean hadBegun) {
    done = wasDone;
    begun = hadBegun;
    checkpoint = savedCheckpoint;
  }

  /**
   * Restores the number of failed runs.
   *
   * @param failureCount number of failed runs
   * @param attempts their attempts, as far as they are stored
   */
  void restoreFailures(int failureCount, Collection<Long> attempts) {
    failures = failureCount;
    failedAttempts.addAll(attempts);
  }
}
