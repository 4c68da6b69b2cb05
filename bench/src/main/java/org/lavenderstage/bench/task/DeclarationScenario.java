package org.lavenderstage.bench.task;

import java.util.List;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.BestFitPlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;

/**
 * Scenario 7: wrong declarations of demand, jobs that always fail, workers on which every task
 * fails, and waves of cancellations.
 */
final class DeclarationScenario implements Scenario {
  private static final long DURATION_MILLIS = 3_600_000;
  private static final long TICK_MILLIS = 2_000;
  private static final int MAX_PLACEMENTS = 500;
  private static final double OFFERED_LOAD = 1.2;
  private static final List<Integer> FAULTY_WORKERS = List.of(3, 16);

  @Override
  public int number() {
    return 7;
  }

  @Override
  public String title() {
    return "wrong declarations, bad workers, cancellations";
  }

  @Override
  public List<Measure> run(long seed) {
    List<ModelJob> declaredTruly = jobs(seed).sorted();
    List<ModelJob> declaredWrongly = jobs(seed).wrongDeclarations(seed).sorted();
    TaskStatistics truly = run(declaredTruly, false, seed);
    TaskStatistics corrected = run(declaredWrongly, true, seed);
    TaskStatistics plain =
        TaskModel.run(
            taskCase(declaredWrongly, false), () -> new BestFitPlanner(MAX_PLACEMENTS), seed);
    return List.of(
        new Measure(
            "batch throughput / true declarations",
            plain.usefulCoreMillis / truly.usefulCoreMillis,
            corrected.usefulCoreMillis / truly.usefulCoreMillis,
            0.9,
            Measure.Sense.AT_LEAST),
        new Measure(
            "most tasks an hour on a bad worker",
            plain.maxFaultyWorkerStartsPerHour,
            corrected.maxFaultyWorkerStartsPerHour,
            10,
            Measure.Sense.AT_MOST),
        new Measure(
            "good jobs ended",
            plain.runnableJobsFailed,
            corrected.runnableJobsFailed,
            0,
            Measure.Sense.AT_MOST),
        new Measure(
            "slowest stop of cancelled work, s",
            plain.slowestCancelMillis / 1000.0,
            corrected.slowestCancelMillis / 1000.0,
            5,
            Measure.Sense.AT_MOST));
  }

  private static JobArrivals jobs(long seed) {
    double cores = TaskCase.WORKERS * TaskCase.WORKER_CPU_MILLIS / 1000.0;
    return new JobArrivals(seed)
        .backlog(300)
        .steady(OFFERED_LOAD * cores, DURATION_MILLIS)
        .faults(DURATION_MILLIS);
  }

  private static TaskStatistics run(List<ModelJob> jobs, boolean correctsDemands, long seed) {
    return TaskModel.run(
        taskCase(jobs, correctsDemands),
        () -> new AdaptivePlanner(ProtectionPolicy.GRADED, MAX_PLACEMENTS),
        seed);
  }

  private static TaskCase taskCase(List<ModelJob> jobs, boolean correctsDemands) {
    return new TaskCase(jobs, false, correctsDemands, FAULTY_WORKERS, TICK_MILLIS, DURATION_MILLIS);
  }
}
