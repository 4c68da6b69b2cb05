package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.ProgressRecord;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.job.TaskId;

/** Keeps the jobs that the owner knows, and those of their changes that are not stored yet. */
final class JobTable {
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Job> active = new LinkedHashMap<>();

  /** The active jobs whose steps run several times. */
  private final Set<Job> repeated = new LinkedHashSet<>();

  private final Set<Job> unstoredJobs = new LinkedHashSet<>();
  private final Set<Job> unstoredProgress = new LinkedHashSet<>();
  private boolean endUnstored;
  private long wallToMonotonicMillis;
  private final List<StoredChange> removals = new ArrayList<>();

  Optional<Job> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Finds a task of which a worker reports a run. */
  Optional<Task> findReportedTask(TaskId id) {
    return find(id.job()).flatMap(job -> job.findReportedTask(id));
  }

  /** Finds the step of a task as it was submitted, also if its job has ended. */
  Optional<StepSpec> findSpec(TaskId id) {
    return find(id.job())
        .map(job -> job.record().steps())
        .filter(steps -> id.step() >= 0 && id.step() < steps.size())
        .map(steps -> steps.get(id.step()));
  }

  /** Returns all known jobs, including those that ended recently. */
  Collection<Job> all() {
    return jobs.values();
  }

  Collection<Job> active() {
    return active.values();
  }

  /** Opens the due occurrences of the active jobs. */
  void openDueOccurrences(long monotonicMillis, long wallMillis) {
    wallToMonotonicMillis = monotonicMillis - wallMillis;
    repeated.forEach(job -> job.openDueOccurrences(wallMillis));
  }

  /**
   * Returns from when the deadlines of a job count: from its acceptance, or from the due time of an
   * occurrence of a repeated job. That is the oldest open one that is not past its hard deadline.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return monotonic time in milliseconds; the present time while no occurrence is due
   */
  long dueMillis(Job job, long nowMillis) {
    if (job.record().repeatCount() == 0) {
      return job.receivedAtMillis();
    }
    long dueMillis = nowMillis;
    for (JobStep step : job.openSteps()) {
      dueMillis = job.dueAtMillis(step.occurrence()) + wallToMonotonicMillis;
      if (nowMillis - dueMillis <= JobRanking.hardDeadlineMillis(job)) {
        return dueMillis;
      }
    }
    return dueMillis;
  }

  private void addActive(Job job) {
    active.put(job.id(), job);
    if (job.record().repeatCount() > 0) {
      repeated.add(job);
    }
  }

  private void removeActive(Job job) {
    active.remove(job.id());
    repeated.remove(job);
  }

  Job submit(JobRecord record, long monotonicMillis) {
    Job job = new Job(record, monotonicMillis);
    jobs.put(record.job(), job);
    addActive(job);
    unstoredJobs.add(job);
    return job;
  }

  /** Removes the submissions that are in no append yet; they were never accepted. */
  List<Job> withdrawUnstored() {
    List<Job> withdrawn = List.copyOf(unstoredJobs);
    for (Job job : withdrawn) {
      jobs.remove(job.id());
      removeActive(job);
      unstoredProgress.remove(job);
    }
    unstoredJobs.clear();
    return withdrawn;
  }

  /** Adds a job that was loaded from the store. */
  void load(
      JobRecord record, Optional<ProgressRecord> progress, long monotonicMillis, long wallMillis) {
    long ageMillis = Math.max(0, wallMillis - record.acceptedAtMillis());
    Job job = new Job(record, monotonicMillis - ageMillis);
    job.markStored(JobPhase.ACTIVE);
    progress.ifPresent(stored -> job.restore(stored, wallMillis));
    job.markStored(job.phase());
    jobs.put(record.job(), job);
    if (job.phase() == JobPhase.ACTIVE) {
      job.openDueOccurrences(wallMillis);
      job.markInherited();
      addActive(job);
    }
  }

  /** Records that a job's progress has to be stored. */
  void markProgressChanged(Job job) {
    unstoredProgress.add(job);
    if (job.phase() != JobPhase.ACTIVE) {
      endUnstored = true;
      removeActive(job);
    }
  }

  /** Handles that changes are stored. */
  void handleStored(List<StoredChange> changes) {
    for (StoredChange change : changes) {
      if (change.record().orElse(null) instanceof ProgressRecord progress) {
        find(progress.job()).ifPresent(job -> job.recordProgressStored(progress));
      }
    }
  }

  /** Removes the jobs that ended before a time, together with their stored records. */
  void removeEndedBefore(long wallMillis) {
    jobs.values()
        .removeIf(
            job -> {
              boolean expired =
                  job.storedPhase() != JobPhase.ACTIVE && job.endedAtMillis() < wallMillis;
              if (expired) {
                unstoredProgress.remove(job);
                removals.add(StoredChange.deleteJob(job.id()));
                removals.add(StoredChange.deleteProgress(job.id()));
              }
              return expired;
            });
  }

  long waitingCount(String queue) {
    return active.values().stream()
        .filter(job -> job.isStored() && !job.hasBegun() && job.rules().queue().equals(queue))
        .count();
  }

  int size() {
    return jobs.size();
  }

  boolean hasChanges() {
    return !unstoredJobs.isEmpty() || !unstoredProgress.isEmpty() || !removals.isEmpty();
  }

  /** Returns whether a caller may wait for a change: the submission or the end of a job. */
  boolean hasAwaitedChanges() {
    return !unstoredJobs.isEmpty() || endUnstored;
  }

  /**
   * Adds the pending changes to a list.
   *
   * @return the phase of each changed job once the changes are stored
   */
  Map<Job, JobPhase> drain(List<StoredChange> changes) {
    changes.addAll(removals);
    Map<Job, JobPhase> phases = new HashMap<>();
    for (Job job : unstoredJobs) {
      changes.add(StoredChange.put(job.record()));
      phases.put(job, JobPhase.ACTIVE);
    }
    for (Job job : unstoredProgress) {
      changes.add(StoredChange.put(job.progress()));
      phases.put(job, job.phase());
    }
    unstoredJobs.clear();
    unstoredProgress.clear();
    endUnstored = false;
    removals.clear();
    return phases;
  }
}
