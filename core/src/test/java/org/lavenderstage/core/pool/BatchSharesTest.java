package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * Batch jobs of many sizes come faster than the processors that serving tasks leave unused can
 * carry them out. The bound is the users': of the jobs by true work, the largest tenth and the
 * fifth below it are each served at least half as often as all of them.
 */
class BatchSharesTest {
  private static final List<Long> SEEDS = List.of(1L, 2L, 3L, 4L);
  private static final int WORKERS = 12;
  private static final int WORKER_CPU = 32_000;

  /** Serving tasks reserve four fifths of the workers and use about half of that. */
  private static final int SERVING_CPU = 6_400;

  private static final int SERVING_JOBS = 12;
  private static final int SERVING_TASKS = 4;
  private static final double SERVING_LOAD = 0.48;
  private static final int TARGET_MILLIS = 150;
  private static final long WARM_UP_MILLIS = 5_000;

  /** Jobs accepted in this time are judged; later ones keep up the load. */
  private static final long JUDGED_MILLIS = 40_000;

  private static final long LOAD_MILLIS = 70_000;

  /**
   * Slack factor and target of the queues of {@link PoolSimulation}, which give a job's objective.
   */
  private static final double SLACK_FACTOR = 2;

  private static final long OBJECTIVE_TARGET_MILLIS = 1_000;

  /** Time after which a completed job is not served, against its objective. */
  private static final int WORTHLESS_AFTER = 3;

  private static final int MOST_STEPS = 4;

  /** How many of the images press where any do. */
  private static final int PRESSING_IMAGES = 5;

  private static final double MEAN_TASK_MILLIS = 1_700;

  /** Spread of the processors of a task in the users' batch queue. */
  private static final double CORE_SPREAD = 0.3;

  private static final double LIGHT_PRESSURE = 0.07;
  private static final double HARD_PRESSURE = 5;
  private static final double NEXT_PRESSURE = 1.5;

  /** Spread of estimates against true work in the users' batch queue, as of a log-normal factor. */
  private static final double ESTIMATE_SPREAD = 0.9;

  private static final List<String> SERVING = List.of("s0", "s1", "s2", "s3", "s4");
  private static final List<String> FILLING =
      List.of("f0", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8");

  /** What a step's estimate tells of the work of its tasks. */
  private enum Estimates {
    EXACT,
    /** Off by a log-normal factor. */
    ROUGH,
    /** The same for every step. */
    CONSTANT
  }

  /**
   * What batch jobs are like.
   *
   * @param mostSteps most steps of a job, each with an image of its own
   * @param spread part of the usual spread of the widths and work of steps
   * @param coreSpread spread of the processors of tasks, as of a log-normal factor
   * @param estimates what is declared of the work
   */
  private record Jobs(int mostSteps, double spread, double coreSpread, Estimates estimates) {}

  /**
   * A load of batch jobs.
   *
   * @param times work that comes in, against what the unused processors can do
   * @param jobs what the jobs are like
   * @param pressingImages how many of the images press hard on two of the serving ones
   * @param owners how often the owner is replaced
   */
  private record Load(double times, Jobs jobs, int pressingImages, int owners) {}

  /** A batch job as declared, with the true work of a task of each step in milliseconds. */
  private record Batch(List<StepSpec> steps, List<Double> taskMillis) {
    double coreMillis() {
      double sum = 0;
      for (int i = 0; i < steps.size(); i++) {
        sum += steps.get(i).count() * steps.get(i).cpuMillis() / 1_000.0 * taskMillis.get(i);
      }
      return sum;
    }

    /** Returns the time after which the job earns nothing; each step waits for the one before. */
    double worthlessMillis() {
      double chain = taskMillis.stream().mapToDouble(Double::doubleValue).sum();
      return WORTHLESS_AFTER * (SLACK_FACTOR * chain + OBJECTIVE_TARGET_MILLIS);
    }

    double workOverEstimate(int step) {
      return taskMillis.get(step) / steps.get(step).estimateMillis();
    }
  }

  /** What became of a job that is judged. */
  private record Judged(double coreMillis, boolean served) {}

  private static Jobs usual(Estimates estimates) {
    return new Jobs(MOST_STEPS, 1, CORE_SPREAD, estimates);
  }

  private static StepSpec serving(String image) {
    return StepBuilder.ofServing(SERVING_TASKS, SERVING_CPU, image, TARGET_MILLIS)
        .memoryMb(13_000)
        .maxPerWorker(1)
        .build();
  }

  private static StepSpec filling(
      int count, int cpuMillis, long estimateMillis, int number, String image) {
    List<Integer> before = number == 0 ? List.of() : List.of(number - 1);
    return StepBuilder.ofBestEffort(count, cpuMillis, estimateMillis, image)
        .memoryMb(6_400)
        .after(before)
        .checkpointing(true)
        .build();
  }

  private static double logNormal(Random random, double mean, double spread) {
    return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
  }

  /** Draws a job as those of the users' batch queue; their work spreads over a factor of 50. */
  private static Batch batch(Load load, Random random) {
    List<StepSpec> steps = new ArrayList<>();
    List<Double> taskMillis = new ArrayList<>();
    Jobs jobs = load.jobs;
    int count = 1 + random.nextInt(jobs.mostSteps);
    for (int i = 0; i < count; i++) {
      double drawn = logNormal(random, 8, 0.6 * jobs.spread);
      int width = (int) Math.max(2, Math.min(32, Math.round(drawn)));
      double cores = logNormal(random, 3_500, jobs.coreSpread);
      int cpu = (int) Math.max(1_500, Math.min(7_000, cores));
      double work = logNormal(random, MEAN_TASK_MILLIS, 0.8 * jobs.spread);
      double millis = Math.max(100, Math.min(8_600, work));
      double off = Math.exp(ESTIMATE_SPREAD * random.nextGaussian());
      double estimate =
          switch (jobs.estimates) {
            case EXACT -> millis;
            case ROUGH -> millis * off;
            case CONSTANT -> MEAN_TASK_MILLIS;
          };
      String image = FILLING.get(random.nextInt(FILLING.size()));
      steps.add(filling(width, cpu, Math.max(50, Math.round(estimate)), i, image));
      taskMillis.add(millis);
    }
    return new Batch(steps, taskMillis);
  }

  private static SimulatedInterference interference(Load load, long seed) {
    SimulatedInterference model = new SimulatedInterference(seed, SERVING_LOAD, 0.5, 20_000);
    for (int i = 0; i < FILLING.size(); i++) {
      for (String serving : SERVING) {
        model.setCoefficient(FILLING.get(i), serving, LIGHT_PRESSURE);
      }
      if (i < load.pressingImages) {
        model.setCoefficient(FILLING.get(i), SERVING.get(i % SERVING.size()), HARD_PRESSURE);
        model.setCoefficient(FILLING.get(i), SERVING.get((i + 2) % SERVING.size()), NEXT_PRESSURE);
      }
    }
    return model;
  }

  /** One play of a load. */
  private static final class Play {
    private final Load load;
    private final PoolSimulation world;
    private final Random random;
    private final Map<String, Batch> batches = new HashMap<>();
    private final Map<String, Long> submittedAt = new HashMap<>();

    Play(Load load, long seed) {
      this.load = load;
      random = new Random(seed);
      world = new PoolSimulation(seed, WORKERS);
      SimulatedInterference model = interference(load, seed);
      for (SimulatedWorker worker : world.workers) {
        worker.cpuMillis = WORKER_CPU;
        worker.interference = Optional.of(model);
        worker.resumesFromCheckpoint = true;
        worker.workToEstimateRatio = this::workOverEstimate;
      }
    }

    private double workOverEstimate(TaskId task) {
      Batch batch = batches.get(task.job());
      return batch == null ? 1 : batch.workOverEstimate(task.step());
    }

    List<Judged> run() {
      world.run(500);
      for (int i = 0; i < SERVING_JOBS; i++) {
        world.submit(List.of(serving(SERVING.get(i % SERVING.size()))), 0);
      }
      world.run(WARM_UP_MILLIS);
      long start = world.now;
      List<Batch> drawn = drawJobs();
      for (int i = 0; i < drawn.size(); i++) {
        runUntil(start + LOAD_MILLIS * i / drawn.size(), start);
        String id = world.submit(drawn.get(i).steps, 2).id();
        batches.put(id, drawn.get(i));
        submittedAt.put(id, world.now);
      }
      runUntil(start + LOAD_MILLIS, start);
      assertEquals(List.of(), world.oracle.violations);
      return judged(start + JUDGED_MILLIS);
    }

    private List<Batch> drawJobs() {
      double reserved = SERVING_JOBS * SERVING_TASKS * SERVING_CPU;
      double unusedCores = (WORKERS * WORKER_CPU - reserved * SERVING_LOAD) / 1_000;
      List<Batch> drawn = new ArrayList<>();
      double coreMillis = 0;
      while (coreMillis < load.times * unusedCores * LOAD_MILLIS) {
        drawn.add(batch(load, random));
        coreMillis += drawn.get(drawn.size() - 1).coreMillis();
      }
      return drawn;
    }

    private void runUntil(long time, long start) {
      while (world.now < time) {
        long former = (world.now - start) * (load.owners + 1) / LOAD_MILLIS;
        world.run(10);
        if ((world.now - start) * (load.owners + 1) / LOAD_MILLIS > former
            && world.now < start + LOAD_MILLIS) {
          world.replaceOwner();
        }
      }
    }

    private List<Judged> judged(long before) {
      List<Judged> judged = new ArrayList<>();
      submittedAt.forEach(
          (id, at) -> {
            Batch batch = batches.get(id);
            Job job = world.submitted.get(id);
            boolean served =
                job.phase() == JobPhase.COMPLETED
                    && job.endedAtMillis() - at <= batch.worthlessMillis();
            if (at < before) {
              judged.add(new Judged(batch.coreMillis(), served));
            }
          });
      return judged;
    }
  }

  /** What part of the jobs was served, by size. */
  private record Shares(double all, double nextFifth, double largestTenth) {
    /** Plays a load with several seeds and counts the jobs of each size together. */
    static Shares of(Load load) {
      double all = 0;
      double nextFifth = 0;
      double largestTenth = 0;
      for (long seed : SEEDS) {
        List<Judged> judged = new Play(load, seed).run();
        judged.sort(Comparator.comparingDouble(Judged::coreMillis));
        int n = judged.size();
        all += served(judged);
        nextFifth += served(judged.subList(n * 7 / 10, n * 9 / 10));
        largestTenth += served(judged.subList(n * 9 / 10, n));
      }
      int plays = SEEDS.size();
      return new Shares(all / plays, nextFifth / plays, largestTenth / plays);
    }

    private static double served(List<Judged> jobs) {
      return jobs.stream().filter(Judged::served).count() / (double) jobs.size();
    }

    void assertLargeJobsGotHalfOfAll() {
      assertTrue(nextFifth >= all / 2 && largestTenth >= all / 2, toString());
    }
  }

  /** Guards the others: where there is room for all, every size is served. */
  @Test
  void jobsOfEverySizeAreServedWhereThereIsRoomForAll() {
    Shares shares = Shares.of(new Load(0.6, usual(Estimates.EXACT), 0, 0));
    assertTrue(shares.all > 0.95 && shares.largestTenth > 0.9, shares.toString());
  }

  /** Issue 20: by gain for each core-second the largest jobs had their turn after all others. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWhereNoImagePressesAndEstimatesAreExact() {
    Shares.of(new Load(1.6, usual(Estimates.EXACT), 0, 0)).assertLargeJobsGotHalfOfAll();
  }

  /** Issue 20: the same where estimates are off, as those of the users' batch queue are. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWhereNoImagePressesAndEstimatesAreRough() {
    Shares.of(new Load(1.6, usual(Estimates.ROUGH), 0, 0)).assertLargeJobsGotHalfOfAll();
  }

  /**
   * Issue 20: jobs that were late by their estimates stayed behind every newcomer. No estimate
   * tells of size here, and the large jobs are those that take longer than declared.
   */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWhereEveryStepDeclaresTheSameWork() {
    Shares.of(new Load(1.6, usual(Estimates.CONSTANT), 0, 0)).assertLargeJobsGotHalfOfAll();
  }

  /**
   * Issue 20: a job of several images waits for each of them anew. All steps are alike but for
   * their images, so that the large jobs are those of most steps.
   */
  @Test
  void jobsOfManyImagesAreServedHalfAsOftenAsAllWhereHalfOfTheImagesPress() {
    Jobs alike = new Jobs(MOST_STEPS, 0, 0, Estimates.EXACT);
    Shares.of(new Load(1.6, alike, PRESSING_IMAGES, 0)).assertLargeJobsGotHalfOfAll();
  }

  /**
   * Issue 20: tasks of many cores go last and are kept no place, so that smaller ones take each
   * piece. All jobs are alike but for their images and the processors of their tasks.
   */
  @Test
  @Tag("known-red")
  void jobsOfTasksOfManyCoresAreServedHalfAsOftenAsAllWhereHalfOfTheImagesPress() {
    Jobs alike = new Jobs(1, 0, 2 * CORE_SPREAD, Estimates.EXACT);
    Shares.of(new Load(1.6, alike, PRESSING_IMAGES, 0)).assertLargeJobsGotHalfOfAll();
  }

  /** Issue 20: the usual mix, of which each test above has one part alone. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWhereHalfOfTheImagesPressAndSizesSpread() {
    Jobs usual = usual(Estimates.ROUGH);
    Shares.of(new Load(1.6, usual, PRESSING_IMAGES, 0)).assertLargeJobsGotHalfOfAll();
  }

  /** Issue 20: owners that are replaced learn pressures anew, which must not cost large jobs. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllThoughOwnersAreReplacedThatHadLearnedPressures() {
    Jobs usual = usual(Estimates.ROUGH);
    Shares.of(new Load(1.2, usual, PRESSING_IMAGES, 3)).assertLargeJobsGotHalfOfAll();
  }
}
