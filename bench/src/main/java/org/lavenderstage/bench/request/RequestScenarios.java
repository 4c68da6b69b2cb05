package org.lavenderstage.bench.request;

import java.util.List;
import org.lavenderstage.bench.policy.Scenario;

/** The cases on requests. */
public final class RequestScenarios {
  private RequestScenarios() {}

  /**
   * Lists the cases.
   *
   * @return the cases in the order of their numbers
   */
  public static List<Scenario> all() {
    return List.of(
        new SkewedLoadScenario(),
        new FaultyExecutorsScenario(),
        new OverloadScenario(),
        new OrderScenario());
  }
}
