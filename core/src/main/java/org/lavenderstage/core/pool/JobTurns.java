package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;

/**
 * Gives turns to jobs of underserved sizes. While there is more work than capacity, ranking by
 * value per core-millisecond favors some sizes over others. This class divides the recent jobs of a
 * queue into size classes by their work. Where a much smaller fraction of a class than of all jobs
 * is served, the highest ranked job of that class gets a turn: it ranks above the other jobs of its
 * priority until it ends or is past its hard deadline, so that the work spent on it is not wasted
 * by a turn of another job.
 */
final class JobTurns {
  /**
   * Upper bounds of the size classes, as fractions of the jobs sorted by work. The users measure
   * the largest tenth and the fifth below it separately.
   */
  private static final double[] SIZE_CLASS_BOUNDS = {0.2, 0.4, 0.7, 0.9, 1};

  /**
   * Minimum served fraction of a size class, relative to the served fraction of all jobs. The users
   * require one half; the margin allows for jobs that get a turn and still miss their hard
   * deadline.
   */
  private static final double MIN_SERVED_RATIO = 0.6;

  /** Age up to which every job is counted, in milliseconds. */
  private static final long MIN_WINDOW_MILLIS = 30_000;

  /** Age up to which a job is counted, as a multiple of its hard deadline. */
  private static final int WINDOW_TO_HARD_DEADLINE_RATIO = 2;

  /** Time between two reviews, in milliseconds; short compared to the run time of a task. */
  private static final long REVIEW_INTERVAL_MILLIS = 250;

  private final DecisionLog log;
  private final Set<Job> turns = new HashSet<>();

  /**
   * Whether each completed job met its hard deadline. Jobs that completed before the first review,
   * under a previous owner, count as served.
   */
  private Map<Job, Boolean> servedByJob = Map.of();

  private OptionalLong lastReviewMillis = OptionalLong.empty();

  /** A job and its work in core-milliseconds. */
  private record SizedJob(Job job, double work) {}

  JobTurns(DecisionLog log) {
    this.log = log;
  }

  /** Returns whether no job has its turn. */
  boolean isEmpty() {
    return turns.isEmpty();
  }

  /** Returns whether a job has its turn. */
  boolean hasTurn(Job job) {
    return turns.contains(job);
  }

  /** Ends the turns of jobs that have ended or are past their hard deadline. */
  void removeExpired(JobTable jobs, long nowMillis) {
    turns.removeIf(
        job ->
            job.phase() != JobPhase.ACTIVE
                || job.openSteps().isEmpty()
                || !isBeforeHardDeadline(job, jobs, nowMillis));
  }

  /** Returns whether the next review is due. */
  boolean isReviewDue(long nowMillis) {
    return lastReviewMillis.isEmpty()
        || nowMillis - lastReviewMillis.getAsLong() >= REVIEW_INTERVAL_MILLIS;
  }

  /**
   * Gives turns to jobs of underserved size classes. In its first review, an owner does not know
   * which jobs had a turn under a previous one. It gives as many turns at once as the classes lack,
   * first to jobs of which tasks have run, then to the oldest ones; these are the jobs that were
   * first to get a turn before.
   *
   * @param jobs all known jobs, including those that have ended recently
   * @param eligible jobs that can still meet their soft deadline, the highest ranked first
   * @param withTurnBefore supplies the jobs that a previous owner may have given a turn
   * @param nowMillis monotonic time in milliseconds
   */
  void review(
      JobTable jobs, List<Job> eligible, Supplier<List<Job>> withTurnBefore, long nowMillis) {
    boolean first = lastReviewMillis.isEmpty();
    lastReviewMillis = OptionalLong.of(nowMillis);
    Map<Job, Boolean> completed = new HashMap<>();
    Map<String, List<SizedJob>> byQueue = new HashMap<>();
    for (Job job : jobs.all()) {
      SizedJob sized = new SizedJob(job, job.estimate().workCoreMillis());
      if (isRecent(job, jobs, nowMillis) && isCounted(sized)) {
        byQueue.computeIfAbsent(job.rules().queue(), key -> new ArrayList<>()).add(sized);
        if (job.phase() == JobPhase.COMPLETED) {
          boolean inTime = first || isBeforeHardDeadline(job, jobs, nowMillis);
          completed.put(job, servedByJob.getOrDefault(job, inTime));
        }
      }
    }
    servedByJob = completed;
    List<Job> candidates = first ? longestWaitFirst(withTurnBefore.get()) : eligible;
    byQueue.values().forEach(queued -> reviewQueue(queued, candidates, first));
  }

  private static List<Job> longestWaitFirst(List<Job> jobs) {
    return jobs.stream()
        .sorted(
            Comparator.comparing((Job job) -> !job.hasBegun())
                .thenComparingLong(Job::receivedAtMillis))
        .toList();
  }

  private static boolean isBeforeHardDeadline(Job job, JobTable jobs, long nowMillis) {
    return nowMillis - jobs.dueMillis(job, nowMillis) <= JobRanking.hardDeadlineMillis(job);
  }

  private static boolean isRecent(Job job, JobTable jobs, long nowMillis) {
    long hardDeadline = JobRanking.hardDeadlineMillis(job);
    return nowMillis - jobs.dueMillis(job, nowMillis)
        <= Math.max(MIN_WINDOW_MILLIS, WINDOW_TO_HARD_DEADLINE_RATIO * hardDeadline);
  }

  /**
   * Returns whether a job has a size and is active or completed. Of a repeated job, occurrences
   * that are due count as one job, and those that are done do not count.
   */
  private static boolean isCounted(SizedJob sized) {
    Job job = sized.job();
    boolean isActive = job.phase() == JobPhase.ACTIVE && !job.openSteps().isEmpty();
    boolean isDone = job.phase() == JobPhase.COMPLETED && job.record().repeatCount() == 0;
    return (isActive || isDone) && sized.work() > 0;
  }

  private void reviewQueue(List<SizedJob> jobs, List<Job> candidates, boolean untilServed) {
    jobs.sort(Comparator.comparingDouble(SizedJob::work));
    double servedOfAll = servedFraction(jobs);
    int from = 0;
    for (double bound : SIZE_CLASS_BOUNDS) {
      int to = includeEqualWork(jobs, Math.max(from, (int) Math.round(bound * jobs.size())));
      List<SizedJob> sizeClass = jobs.subList(from, to);
      boolean given;
      do {
        given =
            servedFraction(sizeClass) < MIN_SERVED_RATIO * servedOfAll
                && giveTurn(sizeClass, candidates, servedOfAll);
      } while (given && untilServed);
      from = to;
    }
  }

  private boolean giveTurn(List<SizedJob> sizeClass, List<Job> candidates, double servedOfAll) {
    Optional<Job> candidate = findCandidate(sizeClass, candidates);
    if (candidate.isEmpty()) {
      return false;
    }
    log.record(
        Decision.TURN_GIVEN,
        "job",
        candidate.get().id(),
        "queue",
        candidate.get().rules().queue(),
        "jobs",
        sizeClass.size(),
        "served",
        Math.round(100 * servedFraction(sizeClass)),
        "all",
        Math.round(100 * servedOfAll));
    turns.add(candidate.get());
    return true;
  }

  /** Extends a size class to include all jobs of equal work. */
  private static int includeEqualWork(List<SizedJob> jobs, int end) {
    int extended = end;
    while (extended > 0
        && extended < jobs.size()
        && jobs.get(extended).work() == jobs.get(extended - 1).work()) {
      extended++;
    }
    return extended;
  }

  private Optional<Job> findCandidate(List<SizedJob> sizeClass, List<Job> candidates) {
    Set<Job> members = sizeClass.stream().map(SizedJob::job).collect(Collectors.toSet());
    return candidates.stream()
        .filter(job -> members.contains(job) && !turns.contains(job))
        .findFirst();
  }

  private double servedFraction(List<SizedJob> jobs) {
    long served = jobs.stream().filter(sized -> isServed(sized.job())).count();
    return served / Math.max(1.0, jobs.size());
  }

  /** Returns whether a job completed before its hard deadline or has its turn. */
  private boolean isServed(Job job) {
    return servedByJob.getOrDefault(job, turns.contains(job));
  }
}
