package org.lavenderstage.bench.request;

import java.util.List;
import org.lavenderstage.bench.policy.Scenario;

/** The scenarios on requests. */
public final class RequestScenarios {
  private RequestScenarios() {}

  /**
   * Returns the scenarios on requests.
   *
   * @return the scenarios, in the order of their numbers
   */
  public static List<Scenario> all() {
    return List.of(
        new SkewedLoadScenario(),
        new FaultyExecutorsScenario(),
        new OverloadScenario(),
        new PriorityScenario());
  }
}
