package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;

/**
 * Gives turns to batch jobs of sizes that are passed over. The order by gain prefers some sizes to
 * others for as long as there is more work than room. Here the jobs of a queue that came lately are
 * divided by their work, and where far fewer of one size are served than of all, the one of them
 * that gains most gets a turn. A job that has its turn goes before the others of its priority until
 * it has ended or earns nothing any more, so that what is spent on it is not lost to the next one.
 */
final class JobTurns {
  /**
   * Upper ends of the sizes, as parts of the jobs by work; by the users' rules the largest tenth
   * and the fifth below it are judged by themselves.
   */
  private static final double[] SIZES = {0.2, 0.4, 0.7, 0.9, 1};

  /**
   * Least share of the jobs of a size that are served, against all. The users ask for half; some
   * that get a turn do not end while they earn.
   */
  private static final double LEAST_SHARE = 0.6;

  /** Age up to which every job is counted, in milliseconds. */
  private static final long WINDOW_MILLIS = 30_000;

  /** Age up to which a job is counted, against the time within which it earns anything. */
  private static final int WINDOW_OVER_EARNING = 2;

  /** Time between two reviews, in milliseconds; short against the run of a task. */
  private static final long REVIEW_MILLIS = 250;

  private final Set<Job> turns = new HashSet<>();

  /** Jobs that have ended, with whether they earned; those of a former owner count as earning. */
  private Map<Job, Boolean> earned = Map.of();

  private OptionalLong reviewedAtMillis = OptionalLong.empty();

  /** A job with its work in core-milliseconds. */
  private record Sized(Job job, double work) {}

  /** Tells whether a job has its turn. */
  boolean isTurnOf(Job job) {
    return turns.contains(job);
  }

  /** Ends the turns of jobs that have ended or earn nothing any more. */
  void end(long monotonicMillis) {
    turns.removeIf(job -> job.phase() != JobPhase.ACTIVE || !earns(job, monotonicMillis));
  }

  /** Tells whether it is time for another review. */
  boolean isReviewDue(long monotonicMillis) {
    return reviewedAtMillis.isEmpty()
        || monotonicMillis - reviewedAtMillis.getAsLong() >= REVIEW_MILLIS;
  }

  /**
   * Gives new turns.
   *
   * @param known all jobs, also those that have ended lately
   * @param candidates batch jobs that can still be in time, the one that gains most first
   */
  void review(Collection<Job> known, List<Job> candidates, long monotonicMillis) {
    boolean first = reviewedAtMillis.isEmpty();
    reviewedAtMillis = OptionalLong.of(monotonicMillis);
    Map<Job, Boolean> ended = new HashMap<>();
    Map<String, List<Sized>> byQueue = new HashMap<>();
    for (Job job : known) {
      Sized sized = new Sized(job, JobRanking.work(job.record()));
      if (isRecent(job, monotonicMillis) && counts(sized)) {
        byQueue.computeIfAbsent(job.rules().queue(), key -> new ArrayList<>()).add(sized);
        if (job.phase() == JobPhase.COMPLETED) {
          boolean inTime = first || earns(job, monotonicMillis);
          ended.put(job, earned.getOrDefault(job, inTime));
        }
      }
    }
    earned = ended;
    byQueue.values().forEach(jobs -> reviewQueue(jobs, candidates));
  }

  private static boolean earns(Job job, long monotonicMillis) {
    return monotonicMillis - job.receivedAtMillis() <= JobRanking.earningMillis(job.record());
  }

  private static boolean isRecent(Job job, long monotonicMillis) {
    long earning = JobRanking.earningMillis(job.record());
    return monotonicMillis - job.receivedAtMillis()
        <= Math.max(WINDOW_MILLIS, WINDOW_OVER_EARNING * earning);
  }

  /** Tells whether a job is owed to its caller and has a size. */
  private static boolean counts(Sized sized) {
    Job job = sized.job();
    boolean owed = job.phase() == JobPhase.ACTIVE || job.phase() == JobPhase.COMPLETED;
    return owed && job.record().repeatCount() == 0 && sized.work() > 0;
  }

  private void reviewQueue(List<Sized> jobs, List<Job> candidates) {
    jobs.sort(Comparator.comparingDouble(Sized::work));
    double least = LEAST_SHARE * servedShare(jobs);
    int from = 0;
    for (double size : SIZES) {
      int to = endOfSize(jobs, Math.max(from, (int) Math.round(size * jobs.size())));
      List<Sized> ofSize = jobs.subList(from, to);
      if (servedShare(ofSize) < least) {
        next(ofSize, candidates).ifPresent(turns::add);
      }
      from = to;
    }
  }

  /** Moves the end of a size behind jobs of equal work, which are of one size. */
  private static int endOfSize(List<Sized> jobs, int end) {
    int moved = end;
    while (moved > 0
        && moved < jobs.size()
        && jobs.get(moved).work() == jobs.get(moved - 1).work()) {
      moved++;
    }
    return moved;
  }

  private Optional<Job> next(List<Sized> ofSize, List<Job> candidates) {
    Set<Job> wanted = ofSize.stream().map(Sized::job).collect(Collectors.toSet());
    return candidates.stream()
        .filter(job -> wanted.contains(job) && !turns.contains(job))
        .findFirst();
  }

  private double servedShare(List<Sized> jobs) {
    long served = jobs.stream().filter(sized -> isServed(sized.job())).count();
    return served / Math.max(1.0, jobs.size());
  }

  /** Tells whether a job has ended while it earned, or has its turn. */
  private boolean isServed(Job job) {
    return earned.getOrDefault(job, turns.contains(job));
  }
}
