package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;

/**
 * Orders jobs by need. Jobs with interrupted lasting tasks go first, which take no more than they
 * had. Then come urgent jobs that can still earn: they need little and are gone soon, while a
 * lasting task keeps its place for good. Then come lasting tasks, then the others by priority.
 * Among urgent jobs the one whose objective is nearest goes first, so that large ones are not
 * passed over; among others, where there is more work than room, the one that gains most for each
 * core-second still to be spent, unless it is another one's turn ({@link JobTurns}). Jobs past
 * their objective earn little, and past three times that nothing; they come last.
 */
final class JobRanking {
  /** Part of a job's worth that does not depend on its size; from the users' rules. */
  private static final double FIXED_WORTH = 0.3;

  /** Part of a job's worth that grows with its work; from the users' rules. */
  private static final double WORTH_BY_WORK = 0.7;

  /** Largest worth of a job against the mean of its queue; from the users' rules. */
  private static final double LARGEST_WORTH = 4.0;

  /** Time after which a job earns nothing, against its objective; from the users' rules. */
  private static final int WORTHLESS_AFTER = 3;

  /** Work that is added to every job, so that an almost finished one does not divide by zero. */
  private static final double LEAST_WORK_MILLIS = 100;

  private final Map<String, MeanWork> meanWork = new HashMap<>();
  private final JobTurns turns = new JobTurns();

  /** Counts a job in the mean of its queue. */
  void recordSubmission(JobRecord record) {
    meanWork.computeIfAbsent(record.rules().queue(), key -> new MeanWork()).add(work(record));
  }

  /** Returns the active jobs, the most needed first. */
  List<Job> sorted(JobTable jobs, long monotonicMillis) {
    List<Ranked> ranked = new ArrayList<>(jobs.active().size());
    for (Job job : jobs.active()) {
      ranked.add(rank(job, monotonicMillis));
    }
    ranked.sort(Ranked.BY_NEED);
    turns.end(monotonicMillis);
    if (turns.isReviewDue(monotonicMillis)) {
      List<Job> candidates = ranked.stream().filter(Ranked::mayGetTurn).map(Ranked::job).toList();
      turns.review(jobs.all(), candidates, monotonicMillis);
    }
    ranked.sort(Ranked.BY_GROUP.thenComparing(r -> !turns.isTurnOf(r.job())));
    return ranked.stream().map(Ranked::job).toList();
  }

  private Ranked rank(Job job, long monotonicMillis) {
    double remainingWork = LEAST_WORK_MILLIS;
    boolean lasting = false;
    boolean interrupted = false;
    for (JobStep step : job.openSteps()) {
      StepSpec spec = step.spec();
      lasting |= spec.lasting();
      interrupted |= spec.lasting() && hasInterruptedTask(step, monotonicMillis);
      remainingWork += cores(spec) * spec.estimateMillis() * step.remainingCount();
    }
    long objective = objectiveMillis(job.record());
    long expectedEnd = monotonicMillis + remainingChainMillis(job);
    long leftMillis = job.receivedAtMillis() + objective - expectedEnd;
    Lateness lateness =
        leftMillis >= 0
            ? Lateness.IN_TIME
            : leftMillis >= -(WORTHLESS_AFTER - 1) * objective ? Lateness.LATE : Lateness.WORTHLESS;
    int priority = job.rules().priority();
    boolean urgent = priority == 0 && !lasting && lateness != Lateness.WORTHLESS;
    Group group =
        interrupted
            ? Group.INTERRUPTED
            : urgent ? Group.URGENT : lasting ? Group.LASTING : Group.OTHER;
    double density = worth(job.record()) / remainingWork;
    return new Ranked(job, group, priority, lateness, urgent ? -leftMillis : density);
  }

  private static boolean hasInterruptedTask(JobStep step, long monotonicMillis) {
    for (Task task : step.tasks()) {
      if (task.isInterrupted(monotonicMillis)) {
        return true;
      }
    }
    return false;
  }

  private double worth(JobRecord record) {
    MeanWork mean = meanWork.get(record.rules().queue());
    double relative = mean == null || mean.mean() == 0 ? 1 : work(record) / mean.mean();
    return Math.min(LARGEST_WORTH, FIXED_WORTH + WORTH_BY_WORK * relative);
  }

  /** Returns the work of a job by its estimates, in core-milliseconds. */
  static double work(JobRecord record) {
    double sum = 0;
    for (StepSpec spec : record.steps()) {
      sum += cores(spec) * spec.estimateMillis() * spec.count();
    }
    return sum;
  }

  private static double cores(StepSpec spec) {
    return spec.cpuMillis() / 1000.0;
  }

  /** Returns the time from its acceptance within which a job earns its full worth. */
  static long objectiveMillis(JobRecord record) {
    long[] chain = new long[record.steps().size()];
    long longest = 0;
    for (int i = 0; i < chain.length; i++) {
      chain[i] = chainBefore(record.steps().get(i), chain) + record.steps().get(i).estimateMillis();
      longest = Math.max(longest, chain[i]);
    }
    return Math.round(record.rules().slackFactor() * longest) + record.rules().targetMillis();
  }

  /** Returns the time from its acceptance within which a job earns anything. */
  static long earningMillis(JobRecord record) {
    return WORTHLESS_AFTER * objectiveMillis(record);
  }

  private static long remainingChainMillis(Job job) {
    long longest = 0;
    Map<Integer, long[]> chains = new HashMap<>();
    for (JobStep step : job.openSteps()) {
      long[] chain =
          chains.computeIfAbsent(step.occurrence(), key -> new long[job.record().steps().size()]);
      long own = step.isDone() ? 0 : step.spec().estimateMillis();
      chain[step.number()] = chainBefore(step.spec(), chain) + own;
      longest = Math.max(longest, chain[step.number()]);
    }
    return longest;
  }

  private static long chainBefore(StepSpec spec, long[] chain) {
    long before = 0;
    for (int dependency : spec.dependsOn()) {
      before = Math.max(before, chain[dependency]);
    }
    return before;
  }

  /** Mean work of the jobs of one queue, in core-milliseconds. */
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

  /** Whether a job still earns what it is worth. */
  private enum Lateness {
    IN_TIME,
    LATE,
    WORTHLESS
  }

  /** Kinds of jobs, the most needed first. */
  private enum Group {
    INTERRUPTED,
    URGENT,
    LASTING,
    OTHER
  }

  /** A job with what decides its place; the higher gain goes first. */
  private record Ranked(Job job, Group group, int priority, Lateness lateness, double gain) {
    static final Comparator<Ranked> BY_GROUP =
        Comparator.comparing(Ranked::group).thenComparingInt(Ranked::priority);

    static final Comparator<Ranked> BY_NEED =
        BY_GROUP
            .thenComparing(Ranked::lateness)
            .thenComparing(Comparator.comparingDouble(Ranked::gain).reversed());

    boolean mayGetTurn() {
      return group == Group.OTHER && lateness == Lateness.IN_TIME;
    }
  }
}
