package org.lavenderstage.bench.task;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.BestFitPlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;

/** The runs that the scenarios on interference and on evictions share. */
final class InterferenceRuns {
  private static final long DURATION_MILLIS = 3_600_000;
  private static final long TICK_MILLIS = 1_000;
  private static final int MAX_PLACEMENTS = 500;
  private static final double OFFERED_LOAD = 1.1;
  private static final double EVICT_LIMIT = 0.10;

  private final Map<Long, Outcomes> bySeed = new HashMap<>();

  Outcomes outcomes(long seed) {
    return bySeed.computeIfAbsent(seed, InterferenceRuns::run);
  }

  private static Outcomes run(long seed) {
    double cores =
        TaskCase.WORKERS * (TaskCase.WORKER_CPU_MILLIS - TaskCase.SERVICE_CPU_MILLIS) / 1000.0;
    List<ModelJob> jobs =
        new JobArrivals(seed)
            .backlog(300)
            .steady(OFFERED_LOAD * cores, DURATION_MILLIS)
            .noisyWaves(DURATION_MILLIS)
            .sorted();
    TaskCase busy = new TaskCase(jobs, true, false, List.of(), TICK_MILLIS, DURATION_MILLIS);
    TaskCase idle = new TaskCase(List.of(), true, false, List.of(), TICK_MILLIS, DURATION_MILLIS);
    ProtectionPolicy evictOnly = new ProtectionPolicy.EvictOnly(EVICT_LIMIT);
    return new Outcomes(
        TaskModel.run(idle, () -> new BestFitPlanner(MAX_PLACEMENTS), seed),
        TaskModel.run(busy, () -> new BestFitPlanner(MAX_PLACEMENTS), seed),
        TaskModel.run(busy, () -> new AdaptivePlanner(evictOnly, MAX_PLACEMENTS), seed),
        TaskModel.run(
            busy, () -> new AdaptivePlanner(ProtectionPolicy.GRADED, MAX_PLACEMENTS), seed));
  }

  /**
   * The statistics of the runs with one seed.
   *
   * @param withoutBatch run without batch work
   * @param packed run that packs tasks without protecting services
   * @param evictOnly run that packs tasks and evicts them where a service becomes slow
   * @param graded run that places tasks elsewhere, throttles them or evicts them
   */
  record Outcomes(
      TaskStatistics withoutBatch,
      TaskStatistics packed,
      TaskStatistics evictOnly,
      TaskStatistics graded) {}
}
