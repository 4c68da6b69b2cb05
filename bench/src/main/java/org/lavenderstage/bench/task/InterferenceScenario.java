package org.lavenderstage.bench.task;

import java.util.List;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;

/** Scenario 5: services and tasks on the same workers, with unknown interference of each pair. */
final class InterferenceScenario implements Scenario {
  private static final double NEVER_SECONDS = 1_800;

  private final InterferenceRuns runs;

  InterferenceScenario(InterferenceRuns runs) {
    this.runs = runs;
  }

  @Override
  public int number() {
    return 5;
  }

  @Override
  public String title() {
    return "hidden interference by pair";
  }

  @Override
  public List<Measure> run(long seed) {
    InterferenceRuns.Outcomes outcomes = runs.outcomes(seed);
    TaskStatistics alone = outcomes.withoutBatch();
    TaskStatistics packed = outcomes.packed();
    TaskStatistics graded = outcomes.graded();
    return List.of(
        new Measure(
            "worst service p99 / without batch",
            packed.worstTailLatencyRatio(alone),
            graded.worstTailLatencyRatio(alone),
            1.15,
            Measure.Sense.AT_MOST),
        new Measure(
            "batch throughput / packed",
            outcomes.evictOnly().usefulCoreMillis / packed.usefulCoreMillis,
            graded.usefulCoreMillis / packed.usefulCoreMillis,
            0.8,
            Measure.Sense.AT_LEAST),
        new Measure(
            "changed pair learned, s",
            learnSeconds(packed),
            learnSeconds(graded),
            180,
            Measure.Sense.AT_MOST));
  }

  private static double learnSeconds(TaskStatistics statistics) {
    return statistics.learnMillis < 0 ? NEVER_SECONDS : statistics.learnMillis / 1000.0;
  }
}
