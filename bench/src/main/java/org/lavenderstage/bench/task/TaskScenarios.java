package org.lavenderstage.bench.task;

import java.util.List;
import org.lavenderstage.bench.policy.Scenario;

/** The scenarios on tasks. */
public final class TaskScenarios {
  private TaskScenarios() {}

  /**
   * Returns the scenarios on tasks.
   *
   * @return the scenarios, in the order of their numbers
   */
  public static List<Scenario> all() {
    InterferenceRuns runs = new InterferenceRuns();
    return List.of(
        new InterferenceScenario(runs),
        new EvictionScenario(runs),
        new DeclarationScenario(),
        new UrgentScenario());
  }
}
