package org.lavenderstage.bench.task;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Generates the jobs of a scenario. */
final class JobArrivals {
  private static final double MEAN_RUN_MILLIS = 120_000;
  private static final long WAVE_PERIOD_MILLIS = 600_000;
  private static final long WAVE_MILLIS = 60_000;
  private static final int WAVE_JOBS = 150;
  private static final long CANCEL_PERIOD_MILLIS = 900_000;
  private static final double IMPOSSIBLE_FRACTION = 0.02;
  private static final int CANCELLED_PER_WAVE = 150;
  private static final double[] CLASS_CORES = {1, 1.5, 2, 3, 4, 2};

  private final Draws draws;
  private final List<ModelJob> jobs = new ArrayList<>();

  JobArrivals(long seed) {
    draws = new Draws(seed, 4);
  }

  List<ModelJob> sorted() {
    jobs.sort(Comparator.comparingLong(ModelJob::arrivalMillis).thenComparing(ModelJob::id));
    return jobs;
  }

  /** Adds jobs of every class but the noisy one whose mean demand is the given number of cores. */
  JobArrivals steady(double offeredCores, long durationMillis) {
    double meanCores = 0;
    for (int c = 0; c < TaskCase.NOISY_CLASS; c++) {
      meanCores += CLASS_CORES[c] / TaskCase.NOISY_CLASS;
    }
    double gapMillis = meanCores * MEAN_RUN_MILLIS / offeredCores;
    double time = 0;
    while (time < durationMillis) {
      add((long) time, draws.below(TaskCase.NOISY_CLASS));
      time += draws.exponential(gapMillis);
    }
    return this;
  }

  /** Adds jobs that arrive at time 0, so that workers are full from the start. */
  JobArrivals backlog(int count) {
    for (int i = 0; i < count; i++) {
      add(0, draws.below(TaskCase.NOISY_CLASS));
    }
    return this;
  }

  /** Adds waves of jobs of the noisy class. */
  JobArrivals noisyWaves(long durationMillis) {
    for (long start = WAVE_PERIOD_MILLIS / 2; start < durationMillis; start += WAVE_PERIOD_MILLIS) {
      for (int i = 0; i < WAVE_JOBS; i++) {
        add(start + draws.below((int) WAVE_MILLIS), TaskCase.NOISY_CLASS);
      }
    }
    return this;
  }

  private void add(long arrivalMillis, int batchClass) {
    int cpuMillis = (int) (1000 * CLASS_CORES[batchClass] * draws.between(0.85, 1.15));
    long runMillis = (long) (MEAN_RUN_MILLIS * draws.between(0.4, 1.6));
    jobs.add(job(arrivalMillis, TaskCase.batchClass(batchClass), cpuMillis, runMillis));
  }

  private ModelJob job(long arrivalMillis, String batchClass, int cpuMillis, long runMillis) {
    return new ModelJob(
        String.format("job-%06d", jobs.size()),
        jobs.size() % TaskCase.CELLS,
        arrivalMillis,
        TaskCase.workspace(draws.below(TaskCase.WORKSPACES)),
        batchClass,
        cpuMillis,
        cpuMillis,
        runMillis,
        false,
        ModelJob.NEVER);
  }

  /** Adds urgent jobs. */
  JobArrivals urgent(double gapMillis, long fromMillis, long durationMillis) {
    double time = fromMillis + draws.exponential(gapMillis);
    while (time < durationMillis) {
      jobs.add(job((long) time, TaskCase.URGENT_CLASS, 2_000, 20_000));
      time += draws.exponential(gapMillis);
    }
    return this;
  }

  /** Makes some jobs always fail and cancels others in waves, the same jobs for each run. */
  JobArrivals faults(long durationMillis) {
    for (int i = 0; i < jobs.size(); i++) {
      if (draws.happens(IMPOSSIBLE_FRACTION)) {
        jobs.set(i, impossible(jobs.get(i)));
      }
    }
    for (long wave = CANCEL_PERIOD_MILLIS; wave < durationMillis; wave += CANCEL_PERIOD_MILLIS) {
      for (int i = 0; i < CANCELLED_PER_WAVE; i++) {
        int index = draws.below(jobs.size());
        if (jobs.get(index).arrivalMillis() < wave) {
          jobs.set(index, cancelled(jobs.get(index), wave));
        }
      }
    }
    return this;
  }

  /** Multiplies the declared CPU of each job by a random factor from a fifth to five. */
  JobArrivals wrongDeclarations(long seed) {
    Draws factors = new Draws(seed, 5);
    jobs.replaceAll(job -> declared(job, factors.logBetween(0.2, 5)));
    return this;
  }

  private static ModelJob impossible(ModelJob job) {
    return copy(job, job.declaredCpuMillis(), true, job.cancelMillis());
  }

  private static ModelJob cancelled(ModelJob job, long atMillis) {
    return copy(job, job.declaredCpuMillis(), job.impossible(), atMillis);
  }

  private static ModelJob declared(ModelJob job, double factor) {
    return copy(job, (int) (job.cpuMillis() * factor), job.impossible(), job.cancelMillis());
  }

  private static ModelJob copy(
      ModelJob job, int declaredCpuMillis, boolean impossible, long cancelMillis) {
    return new ModelJob(
        job.id(),
        job.cell(),
        job.arrivalMillis(),
        job.workspace(),
        job.batchClass(),
        job.cpuMillis(),
        declaredCpuMillis,
        job.runMillis(),
        impossible,
        cancelMillis);
  }
}
