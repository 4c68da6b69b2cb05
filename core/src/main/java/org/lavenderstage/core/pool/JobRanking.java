package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobEstimate;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/**
 * Ranks the active jobs for placement. Jobs with interrupted long-running tasks come first, the
 * longest wait first; they ask for no more than they had. Urgent jobs that still have value come
 * next: they need little and end soon, while a long-running task occupies its worker until its job
 * is cancelled. Then come jobs with long-running tasks, and then all others by priority.
 *
 * <p>Among urgent jobs the one with the least slack to its soft deadline comes first. Among the
 * other jobs of a priority the one with the highest value per remaining core-millisecond comes
 * first. In both, a job that has a turn ({@link JobTurns}) comes before, so that no size is
 * starved. A job past its soft deadline has little value, and a job past three times that none;
 * these come last. The deadlines of a repeated job count from the due time of an occurrence.
 */
final class JobRanking {
  /** Part of a job's value that does not depend on its size; defined by the users. */
  private static final double FIXED_VALUE = 0.3;

  /** Part of a job's value that is proportional to its work; defined by the users. */
  private static final double VALUE_BY_WORK = 0.7;

  /** Maximum value of a job, where 1 is the value of a job of mean work; defined by the users. */
  private static final double MAX_VALUE = 4.0;

  /** Hard deadline as a multiple of the soft deadline; defined by the users. */
  private static final int HARD_DEADLINE_FACTOR = 3;

  /**
   * Work added to that of every job, in core-milliseconds, to avoid a division by zero for an
   * almost finished job.
   */
  private static final double WORK_OFFSET_CORE_MILLIS = 100;

  private final Map<String, MeanWork> meanWorkByQueue = new HashMap<>();
  private final JobTurns turns;
  private final Map<Job, JobOutlook> outlooks = new HashMap<>();

  /** Lengths of the critical paths to the ends of the steps of a job, reused for all jobs. */
  private long[] pathMillis = new long[0];

  JobRanking() {
    this((decision, namesAndValues) -> {});
  }

  JobRanking(DecisionLog log) {
    turns = new JobTurns(log);
  }

  /** Adds a job to the mean work of its queue. */
  void recordSubmission(JobRecord record) {
    meanWorkByQueue
        .computeIfAbsent(record.rules().queue(), key -> new MeanWork())
        .add(JobEstimate.of(record).workCoreMillis());
  }

  /** Returns the active jobs, the highest rank first. */
  List<Job> sortedByRank(JobTable jobs, long nowMillis) {
    List<Ranked> ranked = new ArrayList<>(jobs.active().size());
    outlooks.clear();
    for (Job job : jobs.active()) {
      ranked.add(evaluate(job, jobs.dueMillis(job, nowMillis), nowMillis));
    }
    Collections.sort(ranked);
    turns.removeExpired(jobs, nowMillis);
    if (turns.isReviewDue(nowMillis)) {
      List<Job> eligible = jobsWhere(ranked, Ranked::isEligibleForTurn);
      turns.review(jobs, eligible, () -> jobsWhere(ranked, Ranked::mayHaveTurn), nowMillis);
    }
    return turnsFirst(ranked);
  }

  private static List<Job> jobsWhere(List<Ranked> ranked, Predicate<Ranked> condition) {
    return ranked.stream().filter(condition).map(Ranked::job).toList();
  }

  /** Returns the outlook of a job in the latest order. */
  Optional<JobOutlook> outlook(Job job) {
    return Optional.ofNullable(outlooks.get(job));
  }

  /** Moves the jobs that have a turn to the front of their class and priority. */
  private List<Job> turnsFirst(List<Ranked> ranked) {
    List<Job> sorted = new ArrayList<>(ranked.size());
    if (turns.isEmpty()) {
      ranked.forEach(r -> sorted.add(r.job()));
      return sorted;
    }
    List<Job> withoutTurn = new ArrayList<>();
    for (int i = 0; i < ranked.size(); i++) {
      Ranked current = ranked.get(i);
      if (i > 0 && !current.isOfSameClassAndPriority(ranked.get(i - 1))) {
        sorted.addAll(withoutTurn);
        withoutTurn.clear();
      }
      (turns.hasTurn(current.job()) ? sorted : withoutTurn).add(current.job());
    }
    sorted.addAll(withoutTurn);
    return sorted;
  }

  /**
   * Evaluates a job.
   *
   * @param dueMillis monotonic time in milliseconds from which its deadlines count
   */
  private Ranked evaluate(Job job, long dueMillis, long nowMillis) {
    double remainingWork = WORK_OFFSET_CORE_MILLIS;
    boolean longRunning = false;
    long interruptedSince = Long.MAX_VALUE;
    for (JobStep step : job.openSteps()) {
      StepSpec spec = step.spec();
      longRunning |= spec.lasting();
      if (spec.lasting()) {
        interruptedSince = Math.min(interruptedSince, interruptedSinceMillis(step, nowMillis));
      }
      remainingWork += JobEstimate.taskWorkCoreMillis(spec) * step.remainingCount();
    }
    long softDeadline = job.estimate().softDeadlineMillis();
    long remainingMillis = remainingCriticalPathMillis(job);
    long slackMillis = dueMillis + softDeadline - (nowMillis + remainingMillis);
    long hardSlackMillis = slackMillis + (HARD_DEADLINE_FACTOR - 1) * softDeadline;
    Lateness lateness =
        slackMillis >= 0
            ? Lateness.ON_TIME
            : hardSlackMillis >= 0 ? Lateness.LATE : Lateness.EXPIRED;
    double value = value(job.rules().queue(), job.estimate());
    outlooks.put(
        job,
        longRunning
            ? JobOutlook.ofLongRunningTasks(value)
            : JobOutlook.ofShortTasks(value, slackMillis, hardSlackMillis, remainingMillis));
    int priority = job.rules().priority();
    if (interruptedSince <= nowMillis) {
      // Neither priority nor lateness counts: users accept the same wait for all of these.
      return new Ranked(
          job, RankClass.INTERRUPTED, 0, Lateness.ON_TIME, nowMillis - interruptedSince);
    }
    boolean urgent = priority == 0 && !longRunning && lateness != Lateness.EXPIRED;
    RankClass rankClass =
        urgent ? RankClass.URGENT : longRunning ? RankClass.LASTING : RankClass.OTHER;
    double valueDensity = value / remainingWork;
    return new Ranked(job, rankClass, priority, lateness, urgent ? -slackMillis : valueDensity);
  }

  /** Returns since when a task of a step is interrupted, in the future if none is. */
  private static long interruptedSinceMillis(JobStep step, long nowMillis) {
    long since = Long.MAX_VALUE;
    for (Task task : step.tasks()) {
      if (task.isInterrupted(nowMillis)) {
        since = Math.min(since, task.recordInterrupted(nowMillis));
      }
    }
    return since;
  }

  /** Returns the value of a job for each core-millisecond of a remaining amount of work. */
  double valueDensity(JobRecord job, double remainingCoreMillis) {
    return value(job.rules().queue(), JobEstimate.of(job))
        / (WORK_OFFSET_CORE_MILLIS + remainingCoreMillis);
  }

  /** Returns whether a job is expected to end before its soft deadline if it does not wait. */
  boolean isOnTime(Job job, long nowMillis) {
    long softDeadlineMillis = job.receivedAtMillis() + job.estimate().softDeadlineMillis();
    return nowMillis + remainingCriticalPathMillis(job) <= softDeadlineMillis;
  }

  private double value(String queue, JobEstimate estimate) {
    MeanWork mean = meanWorkByQueue.get(queue);
    double relativeWork =
        mean == null || mean.mean() == 0 ? 1 : estimate.workCoreMillis() / mean.mean();
    return Math.min(MAX_VALUE, FIXED_VALUE + VALUE_BY_WORK * relativeWork);
  }

  /** Returns the time from its acceptance until which a job has any value, in milliseconds. */
  static long hardDeadlineMillis(Job job) {
    return hardDeadlineMillis(job.estimate());
  }

  /** Returns the time from its acceptance until which a job has any value, in milliseconds. */
  static long hardDeadlineMillis(JobEstimate estimate) {
    return HARD_DEADLINE_FACTOR * estimate.softDeadlineMillis();
  }

  private long remainingCriticalPathMillis(Job job) {
    int stepCount = job.record().steps().size();
    if (pathMillis.length < stepCount) {
      pathMillis = new long[stepCount];
    }
    long longest = 0;
    int occurrence = -1;
    // The steps of an occurrence follow each other.
    for (JobStep step : job.openSteps()) {
      if (step.occurrence() != occurrence) {
        occurrence = step.occurrence();
        Arrays.fill(pathMillis, 0, stepCount, 0);
      }
      long stepMillis = step.isDone() ? 0 : step.spec().estimateMillis();
      pathMillis[step.number()] =
          JobEstimate.pathBeforeMillis(step.spec(), pathMillis) + stepMillis;
      longest = Math.max(longest, pathMillis[step.number()]);
    }
    return longest;
  }

  /** The mean work of the jobs of one queue, in core-milliseconds. */
  private static final class MeanWork {
    private double sum;
    private long count;

    void add(double work) {
      sum += work;
      count++;
    }

    double mean() {
      return sum / count;
    }
  }

  /**
   * Whether a job is expected to end before its soft deadline, before its hard deadline, or
   * neither.
   */
  private enum Lateness {
    ON_TIME,
    LATE,
    EXPIRED
  }

  /** Classes of jobs, the highest rank first. */
  private enum RankClass {
    INTERRUPTED,
    URGENT,
    LASTING,
    OTHER
  }

  /** A job with the attributes that determine its rank; a higher score ranks higher. */
  private record Ranked(Job job, RankClass rankClass, int priority, Lateness lateness, double score)
      implements Comparable<Ranked> {
    boolean isEligibleForTurn() {
      return mayHaveTurn() && lateness == Lateness.ON_TIME;
    }

    /** Returns whether the job would keep a turn that it was given when it was on time. */
    boolean mayHaveTurn() {
      return (rankClass == RankClass.OTHER || rankClass == RankClass.URGENT)
          && lateness != Lateness.EXPIRED;
    }

    boolean isOfSameClassAndPriority(Ranked other) {
      return rankClass == other.rankClass && priority == other.priority;
    }

    /** Compares two jobs by rank; the one that ranks higher comes first. */
    @Override
    public int compareTo(Ranked other) {
      if (rankClass != other.rankClass) {
        return rankClass.compareTo(other.rankClass);
      }
      if (priority != other.priority) {
        return Integer.compare(priority, other.priority);
      }
      if (lateness != other.lateness) {
        return lateness.compareTo(other.lateness);
      }
      return Double.compare(other.score, score);
    }
  }
}
