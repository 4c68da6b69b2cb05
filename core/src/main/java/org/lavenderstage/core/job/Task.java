package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One task of a step: what has come of it, and the runs that may be under way. */
public final class Task {
  private final TaskId id;
  private final JobStep step;
  private final List<Run> runs = new ArrayList<>(1);
  private boolean done;
  private int failures;
  private int lastAttempt;
  private final Set<Integer> failedAttempts = new HashSet<>();
  private String checkpoint = "";
  private long notBeforeMillis;
  private boolean inherited;
  private boolean begun;

  Task(TaskId id, JobStep step) {
    this.id = id;
    this.step = step;
  }

  /**
   * Returns the name.
   *
   * @return the name
   */
  public TaskId id() {
    return id;
  }

  /**
   * Returns the step of which this is one task.
   *
   * @return the step
   */
  public JobStep step() {
    return step;
  }

  /**
   * Returns the runs that have been sent to workers and have not ended; more than one only for
   * speculative copies, or where a stray run is being stopped.
   *
   * @return the runs
   */
  public List<Run> runs() {
    return runs;
  }

  /**
   * Tells whether the task is done.
   *
   * @return whether a run has ended well
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Counts the runs that have ended in failure.
   *
   * @return the count
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
   * Keeps a newer checkpoint.
   *
   * @param newest the checkpoint; an empty one changes nothing
   */
  public void updateCheckpoint(String newest) {
    if (!newest.isEmpty()) {
      checkpoint = newest;
    }
  }

  /**
   * Returns the highest attempt that was ever sent or seen.
   *
   * @return the number, 0 for none
   */
  public int lastAttempt() {
    return lastAttempt;
  }

  /**
   * Raises the highest attempt.
   *
   * @param attempt an attempt that was sent or seen
   */
  public void recordAttempt(int attempt) {
    lastAttempt = Math.max(lastAttempt, attempt);
  }

  /**
   * Delays the next run.
   *
   * @param monotonicMillis steady time before which the task is not started
   */
  public void delayUntil(long monotonicMillis) {
    notBeforeMillis = monotonicMillis;
  }

  /**
   * Tells whether the task can be given to a worker now, as far as the task itself goes.
   *
   * @param monotonicMillis steady time
   * @return whether it is not done, has no run and its pause after the last run is over
   */
  public boolean isWaiting(long monotonicMillis) {
    return !done && runs.isEmpty() && monotonicMillis >= notBeforeMillis;
  }

  /**
   * Tells whether a former owner may have started this task on a worker that has not reported yet,
   * or its runs may have failed there.
   *
   * @return whether the task was loaded from the store
   */
  public boolean isInherited() {
    return inherited;
  }

  /**
   * Tells whether this is a lasting task that has lost its run and waits for another.
   *
   * @param monotonicMillis steady time
   * @return whether it is
   */
  public boolean isInterrupted(long monotonicMillis) {
    return begun && isWaiting(monotonicMillis);
  }

  /**
   * Tells whether this is a lasting task of which a run has been at work.
   *
   * @return whether it is, by this owner or by what a former one has stored
   */
  public boolean hasBegun() {
    return begun;
  }

  /**
   * Notes that a run is or was at work, where the task lasts.
   *
   * @return whether this was not known and has to be stored
   */
  public boolean markBegun() {
    boolean first = step.spec().lasting() && !begun;
    begun |= first;
    return first;
  }

  void inherit() {
    inherited = true;
  }

  /** Notes that no former owner can have a run of this task other than those that are known. */
  public void clearInherited() {
    inherited = false;
  }

  boolean markDone() {
    boolean first = !done;
    done = true;
    return first;
  }

  /** Counts a failed run once, however often and in whatever order ends are listed. */
  void markFailed(int attempt) {
    if (failedAttempts.add(attempt)) {
      failures++;
    }
  }

  void restore(boolean wasDone, int failed, String saved, boolean hadBegun) {
    done = wasDone;
    begun = hadBegun;
    failures = failed;
    checkpoint = saved;
  }
}
