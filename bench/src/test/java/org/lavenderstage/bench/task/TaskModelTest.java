package org.lavenderstage.bench.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.BestFitPlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;

class TaskModelTest {
  private static final long DURATION_MILLIS = 300_000;
  private static final long SEED = 7;

  @Test
  void theSameSeedGivesTheSameCounts() {
    TaskStatistics first = runGraded();
    TaskStatistics second = runGraded();
    assertEquals(first.usefulCoreMillis, second.usefulCoreMillis);
    assertEquals(first.throttles, second.throttles);
    assertEquals(first.latencies[0], second.latencies[0]);
  }

  @Test
  void tasksBesideServicesIncreaseTheirTailLatency() {
    TaskStatistics alone = TaskModel.run(taskCase(List.of()), () -> new BestFitPlanner(100), SEED);
    TaskStatistics packed = TaskModel.run(taskCase(jobs()), () -> new BestFitPlanner(100), SEED);
    assertTrue(packed.worstTailLatencyRatio(alone) > 1.1);
    assertEquals(1, alone.worstTailLatencyRatio(alone));
  }

  @Test
  void evictionsOfOneWorkspaceAloneAreTheLeastFair() {
    TaskStatistics statistics = new TaskStatistics();
    assertEquals(1, statistics.evictionFairness());
    statistics.evictions[0] = 5;
    assertEquals(0.25, statistics.evictionFairness());
  }

  private static TaskStatistics runGraded() {
    return TaskModel.run(
        taskCase(jobs()), () -> new AdaptivePlanner(ProtectionPolicy.GRADED, 100), SEED);
  }

  private static List<ModelJob> jobs() {
    return new JobArrivals(SEED).backlog(400).steady(700, DURATION_MILLIS).sorted();
  }

  private static TaskCase taskCase(List<ModelJob> jobs) {
    return new TaskCase(jobs, true, false, List.of(), 1000, DURATION_MILLIS);
  }
}
