package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One job: what was submitted, and what has come of it in memory and in the store. Occurrences are
 * made when they fall due and dropped when they are done.
 */
public final class Job {
  private final JobRecord record;
  private final Map<Integer, List<JobStep>> open = new HashMap<>();
  private final List<StepProgress> ended = new ArrayList<>();
  private JobPhase phase = JobPhase.ACTIVE;
  private JobPhase storedPhase = JobPhase.ACTIVE;
  private boolean stored;
  private boolean begun;
  private boolean inherited;
  private long endedAtMillis;
  private final long receivedAtMillis;

  /**
   * Makes a job of which nothing has run.
   *
   * @param record the submission
   * @param monotonicMillis steady time at which it became known here
   */
  public Job(JobRecord record, long monotonicMillis) {
    this.record = record;
    this.receivedAtMillis = monotonicMillis;
    if (record.repeatCount() == 0) {
      openOccurrence(0);
    }
  }

  /**
   * Returns the identifier.
   *
   * @return the identifier that the caller chose
   */
  public String id() {
    return record.job();
  }

  /**
   * Returns the submission.
   *
   * @return what is stored of it
   */
  public JobRecord record() {
    return record;
  }

  /**
   * Returns the rules of its queue at the time of the acceptance.
   *
   * @return the rules
   */
  public QueueRules rules() {
    return record.rules();
  }

  /**
   * Returns how far the job has come in memory, which may be ahead of the store.
   *
   * @return the phase
   */
  public JobPhase phase() {
    return phase;
  }

  /**
   * Returns the phase that the store has, which is what callers are told.
   *
   * @return the phase
   */
  public JobPhase storedPhase() {
    return storedPhase;
  }

  /**
   * Tells whether the submission is in the store.
   *
   * @return whether it is
   */
  public boolean isStored() {
    return stored;
  }

  /**
   * Notes that the store has the submission and a phase.
   *
   * @param held the phase
   */
  public void markStored(JobPhase held) {
    stored = true;
    storedPhase = held;
  }

  /**
   * Tells whether any task was ever started.
   *
   * @return whether one was
   */
  public boolean hasBegun() {
    return begun;
  }

  /** Notes that a task was started. */
  public void markBegun() {
    begun = true;
  }

  /**
   * Tells whether tasks may be started.
   *
   * @return whether the job is stored and has not ended
   */
  public boolean isActive() {
    return stored && phase == JobPhase.ACTIVE;
  }

  /**
   * Returns when the job became known to this process.
   *
   * @return steady time in milliseconds
   */
  public long receivedAtMillis() {
    return receivedAtMillis;
  }

  /**
   * Returns when the job ended.
   *
   * @return wall time in milliseconds since 1970, 0 while it is active
   */
  public long endedAtMillis() {
    return endedAtMillis;
  }

  /**
   * Ends the job.
   *
   * @param end the final phase
   * @param wallMillis wall time in milliseconds since 1970
   * @return whether it was active before
   */
  public boolean end(JobPhase end, long wallMillis) {
    if (phase != JobPhase.ACTIVE) {
      return false;
    }
    phase = end;
    endedAtMillis = wallMillis;
    return true;
  }

  /**
   * Opens the occurrences that are due.
   *
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void openDueOccurrences(long wallMillis) {
    for (int k = 0; k < record.repeatCount() && dueAtMillis(k) <= wallMillis; k++) {
      if (!open.containsKey(k) && !isOccurrenceDone(k)) {
        openOccurrence(k);
      }
    }
  }

  private long dueAtMillis(int occurrence) {
    return record.startAtMillis() + occurrence * record.intervalMillis();
  }

  private boolean isOccurrenceDone(int occurrence) {
    return ended.stream().anyMatch(p -> p.occurrence() == occurrence);
  }

  private void openOccurrence(int occurrence) {
    List<JobStep> steps = newSteps(occurrence);
    if (inherited) {
      steps.forEach(step -> step.tasks().forEach(Task::inherit));
    }
    open.put(occurrence, steps);
  }

  /**
   * Returns the steps of every open occurrence.
   *
   * @return the steps
   */
  public List<JobStep> openSteps() {
    if (open.size() == 1) {
      return open.values().iterator().next();
    }
    List<JobStep> all = new ArrayList<>();
    open.values().forEach(all::addAll);
    return all;
  }

  /**
   * Tells whether the steps that a step depends on are done.
   *
   * @param step an open step of this job
   * @return whether its tasks may start
   */
  public boolean isReady(JobStep step) {
    List<JobStep> steps = open.get(step.occurrence());
    for (int before : step.spec().dependsOn()) {
      if (!steps.get(before).isDone()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Finds a task of an open occurrence.
   *
   * @param id name of the task
   * @return the task, empty where there is none
   */
  public Optional<Task> findTask(TaskId id) {
    List<JobStep> steps = open.get(id.occurrence());
    if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
      return Optional.empty();
    }
    List<Task> tasks = steps.get(id.step()).tasks();
    return id.index() >= 0 && id.index() < tasks.size()
        ? Optional.of(tasks.get(id.index()))
        : Optional.empty();
  }

  /**
   * Notes that a task is done, and that the job is complete where it was the last.
   *
   * @param task the task
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void recordTaskDone(Task task, long wallMillis) {
    JobStep step = task.step();
    step.done(task);
    List<JobStep> steps = open.get(step.occurrence());
    if (!steps.stream().allMatch(JobStep::isDone)) {
      return;
    }
    if (record.repeatCount() > 0) {
      ended.add(
          new StepProgress(step.occurrence(), -1, new byte[0], List.of(), List.of(), new byte[0]));
      open.remove(step.occurrence());
    }
    if (ended.size() >= record.repeatCount()) {
      end(JobPhase.COMPLETED, wallMillis);
    }
  }

  /**
   * Counts a failed run of a task, and ends the job where it was one too many.
   *
   * @param task the task
   * @param attempt number of the run
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void recordTaskFailure(Task task, int attempt, long wallMillis) {
    int failures = task.step().failed(task, attempt);
    if (!task.step().spec().lasting() && failures >= rules().maxAttempts()) {
      end(JobPhase.FAILED, wallMillis);
    }
  }

  /**
   * Returns what is stored of the progress.
   *
   * @return the record
   */
  public ProgressRecord progress() {
    List<StepProgress> steps = new ArrayList<>(ended);
    if (phase == JobPhase.ACTIVE) {
      open.values().stream()
          .flatMap(List::stream)
          .filter(JobStep::hasProgress)
          .map(JobStep::progress)
          .forEach(steps::add);
    }
    return new ProgressRecord(id(), phase, endedAtMillis, steps);
  }

  /**
   * Takes the progress that the store holds.
   *
   * @param progress the record
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void restore(ProgressRecord progress, long wallMillis) {
    phase = progress.phase();
    endedAtMillis = progress.endedAtMillis();
    progress.steps().stream().filter(p -> p.step() < 0).forEach(ended::add);
    openDueOccurrences(wallMillis);
    for (StepProgress step : progress.steps()) {
      if (step.step() >= 0) {
        begun = true;
        open.computeIfAbsent(step.occurrence(), this::newSteps).get(step.step()).restore(step);
      }
    }
  }

  private List<JobStep> newSteps(int occurrence) {
    List<JobStep> steps = new ArrayList<>(record.steps().size());
    for (int i = 0; i < record.steps().size(); i++) {
      steps.add(new JobStep(this, occurrence, i, record.steps().get(i)));
    }
    return steps;
  }

  /**
   * Finds a task of which a worker has a run. Its occurrence was due by the clock of the owner that
   * started it, and is opened where it is not due by this one's yet.
   *
   * @param id identifier of the task
   * @return the task, empty where the job has none of that name or its occurrence is done
   */
  public Optional<Task> findReportedTask(TaskId id) {
    int occurrence = id.occurrence();
    boolean closed = !open.containsKey(occurrence) && !isOccurrenceDone(occurrence);
    if (closed && occurrence >= 0 && occurrence < record.repeatCount()) {
      openOccurrence(occurrence);
    }
    return findTask(id);
  }

  /** Marks every task, also of occurrences to come, as one that a former owner may have started. */
  public void markInherited() {
    inherited = true;
    openSteps().forEach(step -> step.tasks().forEach(Task::inherit));
  }
}
