package org.lavenderstage.bench.task;

import java.util.List;
import java.util.function.Supplier;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.BestFitPlanner;
import org.lavenderstage.core.placement.CellPlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;
import org.lavenderstage.core.sheet.BatchClassRow;
import org.lavenderstage.core.sheet.Sheet;

/** Scenario 9: urgent tasks that arrive while every worker is full. */
final class UrgentScenario implements Scenario {
  private static final long DURATION_MILLIS = 1_800_000;
  private static final long TICK_MILLIS = 500;
  private static final long FROM_MILLIS = 300_000;
  private static final double GAP_MILLIS = 4_000;
  private static final int MAX_PLACEMENTS = 500;
  private static final double OFFERED_LOAD = 1.2;
  private static final double PERCENTILE = 99;

  @Override
  public int number() {
    return 9;
  }

  @Override
  public String title() {
    return "urgent tasks on full workers";
  }

  @Override
  public List<Measure> run(long seed) {
    double cores = TaskCase.WORKERS * TaskCase.WORKER_CPU_MILLIS / 1000.0;
    List<ModelJob> jobs =
        new JobArrivals(seed)
            .backlog(600)
            .steady(OFFERED_LOAD * cores, DURATION_MILLIS)
            .urgent(GAP_MILLIS, FROM_MILLIS, DURATION_MILLIS)
            .sorted();
    TaskCase taskCase = new TaskCase(jobs, false, false, List.of(), TICK_MILLIS, DURATION_MILLIS);
    return List.of(
        new Measure(
            "start of urgent tasks p99, s",
            startSeconds(taskCase, () -> new BestFitPlanner(MAX_PLACEMENTS), seed),
            startSeconds(taskCase, UrgentScenario::planner, seed),
            3.9,
            Measure.Sense.AT_MOST));
  }

  private static CellPlanner planner() {
    AdaptivePlanner planner = new AdaptivePlanner(ProtectionPolicy.GRADED, MAX_PLACEMENTS);
    BatchClassRow urgent = new BatchClassRow(TaskCase.URGENT_CLASS, 0, 1);
    planner.useSheet(new Sheet(List.of(), List.of(), List.of(urgent), List.of()));
    return planner;
  }

  private static double startSeconds(TaskCase taskCase, Supplier<CellPlanner> planners, long seed) {
    TaskStatistics statistics = TaskModel.run(taskCase, planners, seed);
    return statistics.urgentStartMillis.getValueAtPercentile(PERCENTILE) / 1000.0;
  }
}
