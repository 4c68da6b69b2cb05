package org.lavenderstage.bench.task;

import java.util.List;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;

/** Scenario 6: number of evictions, and their fairness between workspaces. */
final class EvictionScenario implements Scenario {
  private final InterferenceRuns runs;

  EvictionScenario(InterferenceRuns runs) {
    this.runs = runs;
  }

  @Override
  public int number() {
    return 6;
  }

  @Override
  public String title() {
    return "evictions";
  }

  @Override
  public List<Measure> run(long seed) {
    TaskStatistics evictOnly = runs.outcomes(seed).evictOnly();
    TaskStatistics graded = runs.outcomes(seed).graded();
    return List.of(
        new Measure(
            "evictions / evict only",
            evictOnly.totalEvictions(),
            (double) graded.totalEvictions() / evictOnly.totalEvictions(),
            0.5,
            Measure.Sense.AT_MOST),
        new Measure(
            "Jain index over workspaces",
            evictOnly.evictionFairness(),
            graded.evictionFairness(),
            0.9,
            Measure.Sense.AT_LEAST),
        new Measure(
            "work lost / batch time",
            evictOnly.lostFraction(),
            graded.lostFraction(),
            0.02,
            Measure.Sense.AT_MOST));
  }
}
