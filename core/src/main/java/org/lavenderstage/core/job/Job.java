package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * A submitted job with its progress, in memory and as far as it is stored. An occurrence is created
 * when it falls due and removed when it is done. Where more are due than tasks can run, the later
 * ones are created as earlier ones end, so that a job takes no more memory or time for them.
 */
public final class Job {
  /** Maximum number of steps in open occurrences, unless a single occurrence has more. */
  private static final int MAX_OPEN_STEPS = 1_000;

  /** Maximum number of tasks in open occurrences, unless a single occurrence has more. */
  private static final int MAX_OPEN_TASKS = 10_000;

  /**
   * Maximum number of occurrences that the progress lists one by one for entries of earlier
   * versions, which do not read ranges.
   */
  private static final int MAX_SINGLY_LISTED_OCCURRENCES = 256;

  private final JobRecord record;
  private final JobEstimate estimate;
  private final Map<Integer, List<JobStep>> openOccurrences = new TreeMap<>();
  private final int maxOpenOccurrences;
  private OccurrenceSet doneOccurrences = new OccurrenceSet();
  private List<JobStep> openSteps = List.of();
  private int nextDueOccurrence;
  private JobPhase phase = JobPhase.ACTIVE;
  private JobPhase storedPhase = JobPhase.ACTIVE;
  private boolean stored;
  private boolean begun;
  private boolean inherited;
  private long endedAtMillis;
  private final long receivedAtMillis;

  /**
   * Creates a job of which no task has run.
   *
   * @param record the submission
   * @param monotonicMillis monotonic time in milliseconds at which this process received the job
   */
  public Job(JobRecord record, long monotonicMillis) {
    this.record = record;
    this.estimate = JobEstimate.of(record);
    this.maxOpenOccurrences = maxOpenOccurrences(record.steps());
    this.receivedAtMillis = monotonicMillis;
    if (record.repeatCount() == 0) {
      openOccurrence(0);
    }
  }

  private static int maxOpenOccurrences(List<StepSpec> steps) {
    long tasks = steps.stream().mapToLong(StepSpec::count).sum();
    return Math.toIntExact(
        Math.max(1, Math.min(MAX_OPEN_STEPS / steps.size(), MAX_OPEN_TASKS / tasks)));
  }

  /**
   * Returns the identifier of the job.
   *
   * @return the identifier that the caller chose
   */
  public String id() {
    return record.job();
  }

  /**
   * Returns the submission.
   *
   * @return the submission, as it is stored
   */
  public JobRecord record() {
    return record;
  }

  /**
   * Returns what the estimates of the submission say about one occurrence.
   *
   * @return the estimate
   */
  public JobEstimate estimate() {
    return estimate;
  }

  /**
   * Returns the rules of the job's queue as of the acceptance of the job.
   *
   * @return the rules
   */
  public QueueRules rules() {
    return record.rules();
  }

  /**
   * Returns the phase in memory, which may be ahead of the stored one.
   *
   * @return the phase
   */
  public JobPhase phase() {
    return phase;
  }

  /**
   * Returns the stored phase, which is the one that callers are told.
   *
   * @return the stored phase
   */
  public JobPhase storedPhase() {
    return storedPhase;
  }

  /**
   * Returns whether the submission is stored.
   *
   * @return whether the submission is stored
   */
  public boolean isStored() {
    return stored;
  }

  /**
   * Records that the submission and a phase are stored.
   *
   * @param newStoredPhase the stored phase
   */
  public void markStored(JobPhase newStoredPhase) {
    stored = true;
    storedPhase = newStoredPhase;
  }

  /**
   * Returns whether any task was ever started.
   *
   * @return whether a task was started
   */
  public boolean hasBegun() {
    return begun;
  }

  /** Records that a task was started. */
  public void markBegun() {
    begun = true;
  }

  /**
   * Returns whether tasks of the job may be started.
   *
   * @return whether the job is stored and has not ended
   */
  public boolean isActive() {
    return stored && phase == JobPhase.ACTIVE;
  }

  /**
   * Returns when this process received the job.
   *
   * @return monotonic time in milliseconds
   */
  public long receivedAtMillis() {
    return receivedAtMillis;
  }

  /**
   * Returns when the job ended.
   *
   * @return wall-clock time in milliseconds since 1970, 0 while the job is active
   */
  public long endedAtMillis() {
    return endedAtMillis;
  }

  /**
   * Ends the job if it is active.
   *
   * @param finalPhase the final phase
   * @param wallMillis wall-clock time in milliseconds since 1970
   * @return whether the job was active before
   */
  public boolean end(JobPhase finalPhase, long wallMillis) {
    if (phase != JobPhase.ACTIVE) {
      return false;
    }
    phase = finalPhase;
    endedAtMillis = wallMillis;
    return true;
  }

  /**
   * Opens the occurrences that are due, up to the maximum number of open ones.
   *
   * @param wallMillis wall-clock time in milliseconds since 1970
   */
  public void openDueOccurrences(long wallMillis) {
    int openBefore = openOccurrences.size();
    nextDueOccurrence = doneOccurrences.nextMissing(nextDueOccurrence);
    while (openOccurrences.size() < maxOpenOccurrences
        && nextDueOccurrence < record.repeatCount()
        && dueAtMillis(nextDueOccurrence) <= wallMillis) {
      openOccurrences.computeIfAbsent(nextDueOccurrence, this::createSteps);
      nextDueOccurrence = doneOccurrences.nextMissing(nextDueOccurrence + 1);
    }
    if (openOccurrences.size() > openBefore) {
      updateOpenSteps();
    }
  }

  /**
   * Returns when an occurrence of a repeated job is due.
   *
   * @param occurrence number of the occurrence, from 0
   * @return wall-clock time in milliseconds since 1970
   */
  public long dueAtMillis(int occurrence) {
    long startMillis = record.startAtMillis();
    long latestInterval = (Long.MAX_VALUE - startMillis) / Math.max(1, occurrence);
    return record.intervalMillis() > latestInterval
        ? Long.MAX_VALUE
        : startMillis + occurrence * record.intervalMillis();
  }

  private void openOccurrence(int occurrence) {
    openOccurrences.put(occurrence, createSteps(occurrence));
    updateOpenSteps();
  }

  private void updateOpenSteps() {
    List<JobStep> steps = new ArrayList<>();
    openOccurrences.values().forEach(steps::addAll);
    openSteps = Collections.unmodifiableList(steps);
  }

  /**
   * Returns the steps of all open occurrences, those of an occurrence next to each other.
   *
   * @return the steps, unmodifiable
   */
  public List<JobStep> openSteps() {
    return openSteps;
  }

  /**
   * Returns whether the steps that a step depends on are done.
   *
   * @param step a step of an open occurrence of this job
   * @return whether the tasks of the step may start
   */
  public boolean isReady(JobStep step) {
    List<JobStep> steps = openOccurrences.get(step.occurrence());
    for (int dependency : step.spec().dependsOn()) {
      if (!steps.get(dependency).isDone()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Finds a task of an open occurrence.
   *
   * @param id identifier of the task
   * @return the task, empty if there is none
   */
  public Optional<Task> findTask(TaskId id) {
    List<JobStep> steps = openOccurrences.get(id.occurrence());
    if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
      return Optional.empty();
    }
    List<Task> tasks = steps.get(id.step()).tasks();
    return id.index() >= 0 && id.index() < tasks.size()
        ? Optional.of(tasks.get(id.index()))
        : Optional.empty();
  }

  /**
   * Records that a task is done, and completes the job if this was its last task.
   *
   * @param task the task
   * @param wallMillis wall-clock time in milliseconds since 1970
   */
  public void recordTaskDone(Task task, long wallMillis) {
    JobStep step = task.step();
    step.recordDone(task);
    List<JobStep> steps = openOccurrences.get(step.occurrence());
    if (!steps.stream().allMatch(JobStep::isDone)) {
      return;
    }
    if (record.repeatCount() > 0) {
      doneOccurrences.add(step.occurrence());
      openOccurrences.remove(step.occurrence());
      updateOpenSteps();
    }
    if (doneOccurrences.size() >= record.repeatCount()) {
      end(JobPhase.COMPLETED, wallMillis);
    }
  }

  /**
   * Counts a failed run of a task. The job fails once a task that is not long-running has failed as
   * often as the rules of the queue allow attempts.
   *
   * @param task the task
   * @param attempt number of the run
   * @param wallMillis wall-clock time in milliseconds since 1970
   * @return whether the run was not counted before, by this owner or a previous one
   */
  public boolean recordTaskFailure(Task task, long attempt, long wallMillis) {
    JobStep step = task.step();
    boolean isNew = step.recordFailure(task, attempt);
    if (!step.spec().lasting() && step.failuresOf(task) >= rules().maxAttempts()) {
      end(JobPhase.FAILED, wallMillis);
    }
    return isNew;
  }

  /**
   * Returns the progress to be stored.
   *
   * @return the record of the progress
   */
  public ProgressRecord progress() {
    List<StepProgress> steps = new ArrayList<>();
    List<Integer> done = doneOccurrences.bounds();
    if (doneOccurrences.size() <= MAX_SINGLY_LISTED_OCCURRENCES) {
      for (int i = 0; i < done.size(); i += 2) {
        IntStream.rangeClosed(done.get(i), done.get(i + 1))
            .mapToObj(Job::occurrenceDone)
            .forEach(steps::add);
      }
    }
    if (phase == JobPhase.ACTIVE) {
      openOccurrences.values().stream()
          .flatMap(List::stream)
          .filter(JobStep::hasProgress)
          .map(JobStep::progress)
          .forEach(steps::add);
    }
    return new ProgressRecord(id(), phase, endedAtMillis, steps, done);
  }

  /**
   * Records that progress is stored, and with it the attempts that are reserved there.
   *
   * @param stored the record
   */
  public void recordProgressStored(ProgressRecord stored) {
    for (StepProgress progress : stored.steps()) {
      List<JobStep> steps = openOccurrences.get(progress.occurrence());
      if (progress.step() >= 0 && steps != null) {
        steps.get(progress.step()).attempts().recordStored(progress.reservedAttempts());
      }
    }
  }

  private static StepProgress occurrenceDone(int occurrence) {
    return new StepProgress(
        occurrence, -1, new byte[0], List.of(), List.of(), new byte[0], List.of(), 0);
  }

  /**
   * Restores the stored progress.
   *
   * @param progress the stored record
   * @param wallMillis wall-clock time in milliseconds since 1970
   */
  public void restore(ProgressRecord progress, long wallMillis) {
    phase = progress.phase();
    endedAtMillis = progress.endedAtMillis();
    if (progress.doneOccurrences() != null) {
      doneOccurrences = OccurrenceSet.of(progress.doneOccurrences());
    }
    for (StepProgress step : progress.steps()) {
      if (step.step() < 0) {
        doneOccurrences.add(step.occurrence());
      }
    }
    openDueOccurrences(wallMillis);
    for (StepProgress step : progress.steps()) {
      if (step.step() >= 0) {
        begun = true;
        openOccurrences
            .computeIfAbsent(step.occurrence(), this::createSteps)
            .get(step.step())
            .restore(step);
      }
    }
    updateOpenSteps();
  }

  private List<JobStep> createSteps(int occurrence) {
    List<JobStep> steps = new ArrayList<>(record.steps().size());
    for (int i = 0; i < record.steps().size(); i++) {
      steps.add(new JobStep(this, occurrence, i, record.steps().get(i)));
    }
    if (inherited) {
      steps.forEach(step -> step.tasks().forEach(Task::setInherited));
    }
    return steps;
  }

  /**
   * Finds a task of which a worker reports a run. The occurrence was due by the clock of the owner
   * that started the run; if it is not due yet by the clock of this owner, it is opened.
   *
   * @param id identifier of the task
   * @return the task, empty if the job has no such task or its occurrence is done
   */
  public Optional<Task> findReportedTask(TaskId id) {
    int occurrence = id.occurrence();
    boolean notOpened =
        !openOccurrences.containsKey(occurrence) && !doneOccurrences.contains(occurrence);
    if (notOpened && occurrence >= 0 && occurrence < record.repeatCount()) {
      openOccurrence(occurrence);
    }
    return findTask(id);
  }

  /**
   * Marks every task, including those of later occurrences, as one that a previous owner may have
   * started.
   */
  public void markInherited() {
    inherited = true;
    openSteps().forEach(step -> step.tasks().forEach(Task::setInherited));
  }
}
