package org.lavenderstage.bench.policy;

import java.util.List;

/** Scenario of the policy benchmark: compares a policy with baselines on the same arrivals. */
public interface Scenario {
  /**
   * Returns the number of the scenario.
   *
   * @return the number, from one
   */
  int number();

  /**
   * Returns the title of the scenario.
   *
   * @return the title
   */
  String title();

  /**
   * Runs the scenario. The same seed always gives the same figures.
   *
   * @param seed seed of every random choice
   * @return the measures, in the same order for every seed
   */
  List<Measure> run(long seed);
}
