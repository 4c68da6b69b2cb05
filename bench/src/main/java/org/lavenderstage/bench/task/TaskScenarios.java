package org.lavenderstage.bench.task;

import java.util.List;
import org.lavenderstage.bench.policy.Scenario;

/** The cases on tasks. */
public final class TaskScenarios {
  private TaskScenarios() {}

  /**
   * Lists the cases.
   *
   * @return the cases in the order of their numbers
   */
  public static List<Scenario> all() {
    return List.of();
  }
}
