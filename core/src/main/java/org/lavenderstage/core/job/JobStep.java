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
  private int doneCount;

  JobStep(Job job, int occurrence, int number, StepSpec spec) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = spec;
    List<Task> made = new ArrayList<>(spec.count());
    for (int i = 0; i < spec.count(); i++) {
      made.add(new Task(new TaskId(job.id(), occurrence, number, i), this));
    }
    this.tasks = Collections.unmodifiableList(made);
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
   * Returns what was submitted.
   *
   * @return the step
   */
  public StepSpec spec() {
    return spec;
  }

  /**
   * Returns the tasks.
   *
   * @return the tasks by index
   */
  public List<Task> tasks() {
    return tasks;
  }

  /**
   * Tells whether all tasks are done.
   *
   * @return whether the step is done
   */
  public boolean isDone() {
    return doneCount == tasks.size();
  }

  /**
   * Counts the tasks that are not done.
   *
   * @return the count
   */
  public int remainingCount() {
    return tasks.size() - doneCount;
  }

  /** Marks a task, or for a gang every task, as done. */
  void done(Task task) {
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

  /** Counts a failed run; the failures of a gang's members under one attempt count once. */
  int failed(Task task, int attempt) {
    Task counted = spec.gang() ? tasks.get(0) : task;
    counted.markFailed(attempt);
    return counted.failures();
  }

  boolean hasProgress() {
    return doneCount > 0
        || tasks.stream()
            .anyMatch(t -> t.failures() > 0 || !t.checkpoint().isEmpty() || t.hasBegun());
  }

  StepProgress progress() {
    BitSet done = new BitSet();
    BitSet begun = new BitSet();
    boolean failed = false;
    boolean saved = false;
    for (Task task : tasks) {
      done.set(task.id().index(), task.isDone());
      begun.set(task.id().index(), task.hasBegun());
      failed |= task.failures() > 0;
      saved |= !task.isDone() && !task.checkpoint().isEmpty();
    }
    List<Integer> failures = failed ? tasks.stream().map(Task::failures).toList() : List.of();
    List<String> checkpoints =
        saved ? tasks.stream().map(t -> t.isDone() ? "" : t.checkpoint()).toList() : List.of();
    return new StepProgress(
        occurrence, number, done.toByteArray(), failures, checkpoints, begun.toByteArray());
  }

  void restore(StepProgress progress) {
    BitSet done = BitSet.valueOf(progress.done());
    BitSet begun = progress.begun() == null ? new BitSet() : BitSet.valueOf(progress.begun());
    doneCount = 0;
    for (Task task : tasks) {
      int i = task.id().index();
      int failures = i < progress.failures().size() ? progress.failures().get(i) : 0;
      String saved = i < progress.checkpoints().size() ? progress.checkpoints().get(i) : "";
      task.restore(done.get(i), failures, saved, begun.get(i));
      doneCount += done.get(i) ? 1 : 0;
    }
  }
}
