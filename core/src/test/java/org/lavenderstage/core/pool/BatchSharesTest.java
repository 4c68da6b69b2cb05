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
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * Verifies that large batch jobs are not starved when more work arrives than the processors unused
 * by serving tasks can do. The bound is required by the users: of the jobs sorted by true work, the
 * largest tenth and the fifth below it are each served at least half as often as all jobs.
 */
class BatchSharesTest {
  private static final List<Long> SEEDS = List.of(1L, 2L, 3L, 4L);
  private static final int WORKERS = 12;
  private static final int WORKER_CPU = 32_000;

  /** Serving tasks reserve four fifths of the processors and use about half of that. */
  private static final int SERVING_CPU = 6_400;

  private static final int SERVING_JOBS = 12;
  private static final int SERVING_TASKS = 4;
  private static final double SERVING_UTILIZATION = 0.48;
  private static final int TARGET_MILLIS = 150;
  private static final long WARM_UP_MILLIS = 5_000;

  /** Jobs submitted within this time are counted; later ones only maintain the load. */
  private static final long COUNTED_MILLIS = 40_000;

  private static final long LOAD_MILLIS = 70_000;

  /**
   * Slack factor and target of the queues of {@link PoolSimulation}, which determine a job's soft
   * deadline.
   */
  private static final double SLACK_FACTOR = 2;

  private static final long SOFT_DEADLINE_OFFSET_MILLIS = 1_000;

  /** Hard deadline as a multiple of the soft deadline; a job that completes later is not served. */
  private static final int HARD_DEADLINE_FACTOR = 3;

  private static final int MAX_STEPS = 4;

  /** Number of interfering images in tests with interference. */
  private static final int INTERFERING_IMAGES = 5;

  private static final double MEAN_TASK_MILLIS = 1_700;

  /** Spread of the processors per task in the users' batch queue. */
  private static final double CORE_SPREAD = 0.3;

  private static final double LIGHT_INTERFERENCE = 0.07;
  private static final double HEAVY_INTERFERENCE = 5;
  private static final double MODERATE_INTERFERENCE = 1.5;

  /**
   * Spread of the ratio of estimate to true work in the users' batch queue, as sigma of a
   * log-normal factor.
   */
  private static final double ESTIMATE_SPREAD = 0.9;

  private static final List<String> SERVING_IMAGES = List.of("s0", "s1", "s2", "s3", "s4");
  private static final List<String> BEST_EFFORT_IMAGES =
      List.of("f0", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8");

  /** How a step's estimate relates to the work of its tasks. */
  private enum Estimates {
    EXACT,
    /** Wrong by a log-normal factor. */
    ROUGH,
    /** The same for every step. */
    CONSTANT
  }

  /**
   * Distribution of the batch jobs.
   *
   * @param maxSteps maximum number of steps of a job, each with a random image
   * @param spread spread of the widths and work of steps, as a fraction of that in the users' queue
   * @param coreSpread spread of the processors per task, as sigma of a log-normal factor
   * @param estimates how the estimates relate to the work
   */
  private record JobMix(int maxSteps, double spread, double coreSpread, Estimates estimates) {}

  /**
   * A load of batch jobs.
   *
   * @param overload work that is submitted, as a multiple of what the unused processors can do
   * @param mix distribution of the jobs
   * @param interferingImages number of images that interfere strongly with two of the serving
   *     images
   * @param failovers how often the owner is replaced
   */
  private record Load(double overload, JobMix mix, int interferingImages, int failovers) {}

  /** A batch job as submitted, with the true work of a task of each step in milliseconds. */
  private record BatchJob(List<StepSpec> steps, List<Double> taskMillis) {
    double workCoreMillis() {
      double sum = 0;
      for (int i = 0; i < steps.size(); i++) {
        sum += steps.get(i).count() * steps.get(i).cpuMillis() / 1_000.0 * taskMillis.get(i);
      }
      return sum;
    }

    /**
     * Returns the time after which the job has no value, in milliseconds; its steps run one after
     * another.
     */
    double hardDeadlineMillis() {
      double criticalPathMillis = taskMillis.stream().mapToDouble(Double::doubleValue).sum();
      return HARD_DEADLINE_FACTOR
          * (SLACK_FACTOR * criticalPathMillis + SOFT_DEADLINE_OFFSET_MILLIS);
    }

    double trueWorkRatio(int step) {
      return taskMillis.get(step) / steps.get(step).estimateMillis();
    }
  }

  /** The work of a counted job and whether it was served. */
  private record CountedJob(double workCoreMillis, boolean served) {}

  private static JobMix usualMix(Estimates estimates) {
    return new JobMix(MAX_STEPS, 1, CORE_SPREAD, estimates);
  }

  private static StepSpec serving(String image) {
    return StepBuilder.ofServing(SERVING_TASKS, SERVING_CPU, image, TARGET_MILLIS)
        .memoryMb(13_000)
        .maxPerWorker(1)
        .build();
  }

  private static StepSpec bestEffort(
      int count, int cpuMillis, long estimateMillis, int number, String image) {
    List<Integer> dependsOn = number == 0 ? List.of() : List.of(number - 1);
    return StepBuilder.ofBestEffort(count, cpuMillis, estimateMillis, image)
        .memoryMb(6_400)
        .after(dependsOn)
        .checkpointing(true)
        .build();
  }

  private static double logNormal(Random random, double mean, double spread) {
    return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
  }

  /**
   * Returns a random job like those of the users' batch queue, whose work spreads over a factor of
   * 50.
   */
  private static BatchJob randomJob(Load load, Random random) {
    List<StepSpec> steps = new ArrayList<>();
    List<Double> taskMillis = new ArrayList<>();
    JobMix mix = load.mix;
    int count = 1 + random.nextInt(mix.maxSteps);
    for (int i = 0; i < count; i++) {
      double randomWidth = logNormal(random, 8, 0.6 * mix.spread);
      int width = (int) Math.max(2, Math.min(32, Math.round(randomWidth)));
      double cores = logNormal(random, 3_500, mix.coreSpread);
      int cpu = (int) Math.max(1_500, Math.min(7_000, cores));
      double work = logNormal(random, MEAN_TASK_MILLIS, 0.8 * mix.spread);
      double millis = Math.max(100, Math.min(8_600, work));
      double estimateFactor = Math.exp(ESTIMATE_SPREAD * random.nextGaussian());
      double estimate =
          switch (mix.estimates) {
            case EXACT -> millis;
            case ROUGH -> millis * estimateFactor;
            case CONSTANT -> MEAN_TASK_MILLIS;
          };
      String image = BEST_EFFORT_IMAGES.get(random.nextInt(BEST_EFFORT_IMAGES.size()));
      steps.add(bestEffort(width, cpu, Math.max(50, Math.round(estimate)), i, image));
      taskMillis.add(millis);
    }
    return new BatchJob(steps, taskMillis);
  }

  private static SimulatedInterference interference(Load load, long seed) {
    SimulatedInterference model = new SimulatedInterference(seed, SERVING_UTILIZATION, 0.5, 20_000);
    for (int i = 0; i < BEST_EFFORT_IMAGES.size(); i++) {
      for (String serving : SERVING_IMAGES) {
        model.setCoefficient(BEST_EFFORT_IMAGES.get(i), serving, LIGHT_INTERFERENCE);
      }
      if (i < load.interferingImages) {
        model.setCoefficient(
            BEST_EFFORT_IMAGES.get(i),
            SERVING_IMAGES.get(i % SERVING_IMAGES.size()),
            HEAVY_INTERFERENCE);
        model.setCoefficient(
            BEST_EFFORT_IMAGES.get(i),
            SERVING_IMAGES.get((i + 2) % SERVING_IMAGES.size()),
            MODERATE_INTERFERENCE);
      }
    }
    return model;
  }

  /** One simulation of a load. */
  private static final class Simulation {
    private final Load load;
    private final PoolSimulation simulation;
    private final Random random;
    private final Map<String, BatchJob> batchJobs = new HashMap<>();
    private final Map<String, Long> submittedAt = new HashMap<>();

    Simulation(Load load, long seed) {
      this.load = load;
      random = new Random(seed);
      simulation = new PoolSimulation(seed, WORKERS);
      SimulatedInterference model = interference(load, seed);
      for (SimulatedWorker worker : simulation.workers) {
        worker.cpuMillis = WORKER_CPU;
        worker.interference = Optional.of(model);
        worker.resumesFromCheckpoint = true;
        worker.workToEstimateRatio = this::trueWorkRatio;
      }
    }

    private double trueWorkRatio(TaskId task) {
      BatchJob batch = batchJobs.get(task.job());
      return batch == null ? 1 : batch.trueWorkRatio(task.step());
    }

    List<CountedJob> run() {
      simulation.run(500);
      for (int i = 0; i < SERVING_JOBS; i++) {
        simulation.submit(List.of(serving(SERVING_IMAGES.get(i % SERVING_IMAGES.size()))), 0);
      }
      simulation.run(WARM_UP_MILLIS);
      long start = simulation.now;
      List<BatchJob> toSubmit = randomJobs();
      for (int i = 0; i < toSubmit.size(); i++) {
        runUntil(start + LOAD_MILLIS * i / toSubmit.size(), start);
        String id = simulation.submit(toSubmit.get(i).steps, 2).id();
        batchJobs.put(id, toSubmit.get(i));
        submittedAt.put(id, simulation.now);
      }
      runUntil(start + LOAD_MILLIS, start);
      assertEquals(List.of(), simulation.oracle.violations);
      return countedJobs(start + COUNTED_MILLIS);
    }

    private List<BatchJob> randomJobs() {
      double reserved = SERVING_JOBS * SERVING_TASKS * SERVING_CPU;
      double unusedCores = (WORKERS * WORKER_CPU - reserved * SERVING_UTILIZATION) / 1_000;
      List<BatchJob> result = new ArrayList<>();
      double totalCoreMillis = 0;
      while (totalCoreMillis < load.overload * unusedCores * LOAD_MILLIS) {
        result.add(randomJob(load, random));
        totalCoreMillis += result.get(result.size() - 1).workCoreMillis();
      }
      return result;
    }

    private void runUntil(long time, long start) {
      while (simulation.now < time) {
        long failoversBefore = (simulation.now - start) * (load.failovers + 1) / LOAD_MILLIS;
        simulation.run(10);
        if ((simulation.now - start) * (load.failovers + 1) / LOAD_MILLIS > failoversBefore
            && simulation.now < start + LOAD_MILLIS) {
          simulation.replaceOwner();
        }
      }
    }

    private List<CountedJob> countedJobs(long before) {
      List<CountedJob> counted = new ArrayList<>();
      submittedAt.forEach(
          (id, at) -> {
            BatchJob batch = batchJobs.get(id);
            Job job = simulation.submitted.get(id);
            boolean served =
                job.phase() == JobPhase.COMPLETED
                    && job.endedAtMillis() - at <= batch.hardDeadlineMillis();
            if (at < before) {
              counted.add(new CountedJob(batch.workCoreMillis(), served));
            }
          });
      return counted;
    }
  }

  /** The fraction of the jobs that was served, by size. */
  private record ServedShares(double all, double nextFifth, double largestTenth) {
    /** Simulates a load with several seeds and returns the mean shares. */
    static ServedShares of(Load load) {
      return of(load, SEEDS);
    }

    static ServedShares of(Load load, List<Long> seeds) {
      double all = 0;
      double nextFifth = 0;
      double largestTenth = 0;
      for (long seed : seeds) {
        List<CountedJob> countedJobs = new Simulation(load, seed).run();
        countedJobs.sort(Comparator.comparingDouble(CountedJob::workCoreMillis));
        int n = countedJobs.size();
        all += served(countedJobs);
        nextFifth += served(countedJobs.subList(n * 7 / 10, n * 9 / 10));
        largestTenth += served(countedJobs.subList(n * 9 / 10, n));
      }
      int runs = seeds.size();
      return new ServedShares(all / runs, nextFifth / runs, largestTenth / runs);
    }

    private static double served(List<CountedJob> jobs) {
      return jobs.stream().filter(CountedJob::served).count() / (double) jobs.size();
    }

    void assertLargeJobsServedHalfAsOften() {
      assertTrue(nextFifth >= all / 2 && largestTenth >= all / 2, toString());
    }
  }

  /** Control for the other tests: all sizes are served where the capacity suffices for all jobs. */
  @Test
  void jobsOfEverySizeAreServedWhereCapacitySuffices() {
    ServedShares shares = ServedShares.of(new Load(0.6, usualMix(Estimates.EXACT), 0, 0));
    assertTrue(shares.all > 0.95 && shares.largestTenth > 0.9, shares.toString());
  }

  /** Issue 20: ranked by value per core-second, the largest jobs came after all others. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWithoutInterferenceAndWithExactEstimates() {
    ServedShares.of(new Load(1.6, usualMix(Estimates.EXACT), 0, 0))
        .assertLargeJobsServedHalfAsOften();
  }

  /** Issue 20: the same with wrong estimates, like those of the users' batch queue. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWithoutInterferenceAndWithRoughEstimates() {
    ServedShares.of(new Load(1.6, usualMix(Estimates.ROUGH), 0, 0))
        .assertLargeJobsServedHalfAsOften();
  }

  /**
   * Issue 20: jobs that were late by their estimates ranked below every new job. Here estimates say
   * nothing about size, and the large jobs are those that run longer than declared.
   */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWithEqualEstimates() {
    ServedShares.of(new Load(1.6, usualMix(Estimates.CONSTANT), 0, 0))
        .assertLargeJobsServedHalfAsOften();
  }

  /**
   * Issue 20: a job of several images has to wait for each of them. All steps are alike except for
   * their images, so that the large jobs are those with the most steps.
   */
  @Test
  void jobsOfManyImagesAreServedHalfAsOftenAsAllWhereHalfOfTheImagesInterfere() {
    JobMix alike = new JobMix(MAX_STEPS, 0, 0, Estimates.EXACT);
    ServedShares.of(new Load(1.6, alike, INTERFERING_IMAGES, 0)).assertLargeJobsServedHalfAsOften();
  }

  /** Issue 20: with other random numbers than above the large jobs still go last. */
  @ParameterizedTest
  @ValueSource(longs = {9, 13})
  @Tag("known-red")
  void jobsOfManyImagesAreServedHalfAsOftenAsAllWithOtherSeeds(long firstSeed) {
    JobMix alike = new JobMix(MAX_STEPS, 0, 0, Estimates.EXACT);
    List<Long> seeds = LongStream.range(firstSeed, firstSeed + SEEDS.size()).boxed().toList();
    ServedShares.of(new Load(1.6, alike, INTERFERING_IMAGES, 0), seeds)
        .assertLargeJobsServedHalfAsOften();
  }

  /**
   * Issue 20: tasks with many cores rank last and get no reservation, so that smaller ones use all
   * released capacity. All jobs are alike except for their images and the processors of their
   * tasks.
   */
  @Test
  @Tag("known-red")
  void jobsOfTasksOfManyCoresAreServedHalfAsOftenAsAllWhereHalfOfTheImagesInterfere() {
    JobMix alike = new JobMix(1, 0, 2 * CORE_SPREAD, Estimates.EXACT);
    ServedShares.of(new Load(1.6, alike, INTERFERING_IMAGES, 0)).assertLargeJobsServedHalfAsOften();
  }

  /** Issue 20: the usual mix, which combines the conditions of the tests above. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllWithInterferenceAndMixedSizes() {
    JobMix usual = usualMix(Estimates.ROUGH);
    ServedShares.of(new Load(1.6, usual, INTERFERING_IMAGES, 0)).assertLargeJobsServedHalfAsOften();
  }

  /** Issue 20: a new owner has to learn the interference again, which must not delay large jobs. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllAfterFailovers() {
    JobMix usual = usualMix(Estimates.ROUGH);
    ServedShares.of(new Load(1.2, usual, INTERFERING_IMAGES, 3)).assertLargeJobsServedHalfAsOften();
  }
}
