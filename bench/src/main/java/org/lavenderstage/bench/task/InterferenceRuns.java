package org.lavenderstage.bench.task;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.BestFitPlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;

/** The runs that the cases on interference and on evictions have in common. */
final class InterferenceRuns {
  private static final long DURATION_MILLIS = 3_600_000;
  private static final long TICK_MILLIS = 1_000;
  private static final int MAX_PLACEMENTS = 500;
  private static final double OFFERED_PART = 1.1;
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
            .steady(OFFERED_PART * cores, DURATION_MILLIS)
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
   * What the runs of one seed counted.
   *
   * @param withoutBatch no batch work at all
   * @param packed packing without protection
   * @param evictOnly packing, and evicting where a service was slow
   * @param graded placing elsewhere, throttling, evicting
   */
  record Outcomes(
      TaskTally withoutBatch, TaskTally packed, TaskTally evictOnly, TaskTally graded) {}
}
