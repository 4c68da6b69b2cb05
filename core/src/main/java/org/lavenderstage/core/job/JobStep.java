package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;

/** One step of one occurrence of a job, with its tasks. */
public final class JobStep {
  private final Job job;
  private final int occurrence;
  private final int number;
  private final StepSpec spec;
  private final List<Task> tasks;
  private final AttemptReservation attempts = new AttemptReservation();
  private int doneCount;

  JobStep(Job job, int occurrence, int number, StepSpec spec) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = spec;
    List<Task> newTasks = new ArrayList<>(spec.count());
    for (int i = 0; i < spec.count(); i++) {
      newTasks.add(new Task(new TaskId(job.id(), occurrence, number, i), this));
    }
    this.tasks = Collections.unmodifiableList(newTasks);
  }

  /**
   * Returns the job.
   *
   * @return the job
   */
  public Job job() {
    return job;
  }

  /**
   * Returns the number of the step.
   *
   * @return the number, from 0
   */
  public int number() {
    return number;
  }

  /**
   * Returns the number of the occurrence.
   *
   * @return the number, from 0
   */
  public int occurrence() {
    return occurrence;
  }

  /**
   * Returns the step as it was submitted.
   *
   * @return the specification of the step
   */
  public StepSpec spec() {
    return spec;
  }

  /**
   * Returns the tasks of the step.
   *
   * @return the tasks by index, unmodifiable
   */
  public List<Task> tasks() {
    return tasks;
  }

  /**
   * Returns whether all tasks are done.
   *
   * @return whether all tasks are done
   */
  public boolean isDone() {
    return doneCount == tasks.size();
  }

  /**
   * Returns the number of tasks that are not done.
   *
   * @return the number of tasks
   */
  public int remainingCount() {
    return tasks.size() - doneCount;
  }

  /**
   * Returns which attempts of the tasks are reserved.
   *
   * @return the reservation, modifiable
   */
  public AttemptReservation attempts() {
    return attempts;
  }

  /** Marks a task as done, or in a gang all tasks. */
  void recordDone(Task task) {
    if (spec.gang()) {
      tasks.forEach(this::countDone);
    } else {
      countDone(task);
    }
  }

  private void countDone(Task task) {
    if (task.markDone()) {
      doneCount++;
    }
  }

  /**
   * Counts a failed run. Failures of several members of a gang in the same attempt count once.
   *
   * @return whether the run was not counted before
   */
  boolean recordFailure(Task task, long attempt) {
    return countingTask(task).markFailed(attempt);
  }

  /** Returns the number of failed runs that count for a task; those of a gang count together. */
  int failuresOf(Task task) {
    return countingTask(task).failures();
  }

  /** Returns the task for which failures are counted, the first one of a gang. */
  Task countingTask(Task task) {
    return spec.gang() ? tasks.get(0) : task;
  }

  boolean hasProgress() {
    return doneCount > 0
        || attempts.upTo() > 0
        || tasks.stream()
            .anyMatch(t -> t.failures() > 0 || !t.checkpoint().isEmpty() || t.hasBegun());
  }

  StepProgress progress() {
    BitSet done = new BitSet();
    BitSet begun = new BitSet();
    boolean anyFailures = false;
    boolean anyCheckpoints = false;
    for (Task task : tasks) {
      done.set(task.id().index(), task.isDone());
      begun.set(task.id().index(), task.hasBegun());
      anyFailures |= task.failures() > 0;
      anyCheckpoints |= !task.isDone() && !task.checkpoint().isEmpty();
    }
    List<Integer> failures = anyFailures ? tasks.stream().map(Task::failures).toList() : List.of();
    List<String> checkpoints =
        anyCheckpoints
            ? tasks.stream().map(t -> t.isDone() ? "" : t.checkpoint()).toList()
            : List.of();
    List<List<Long>> failedAttempts =
        anyFailures ? tasks.stream().map(Task::failedAttempts).toList() : List.of();
    return new StepProgress(
        occurrence,
        number,
        done.toByteArray(),
        failures,
        checkpoints,
        begun.toByteArray(),
        failedAttempts,
        attempts.upTo());
  }

  void restore(StepProgress progress) {
    BitSet done = BitSet.valueOf(progress.done());
    BitSet begun = progress.begun() == null ? new BitSet() : BitSet.valueOf(progress.begun());
    List<List<Long>> failedAttempts =
        progress.failedAttempts() == null ? List.of() : progress.failedAttempts();
    attempts.restore(progress.reservedAttempts());
    doneCount = 0;
    for (Task task : tasks) {
      int i = task.id().index();
      task.restore(done.get(i), elementAt(progress.checkpoints(), i, ""), begun.get(i));
      task.restoreFailures(
          elementAt(progress.failures(), i, 0), elementAt(failedAttempts, i, List.of()));
      doneCount += done.get(i) ? 1 : 0;
    }
  }

  private static <T> T elementAt(List<T> list, int index, T absent) {
    return index < list.size() ? list.get(index) : absent;
  }
}
