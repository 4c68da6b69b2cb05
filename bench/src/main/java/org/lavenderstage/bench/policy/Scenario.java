package org.lavenderstage.bench.policy;

import java.util.List;

/** One case of the policy bench: a candidate and its baselines on the same arrivals. */
public interface Scenario {
  /**
   * Returns the number of the case.
   *
   * @return the number, from one
   */
  int number();

  /**
   * Returns the name of the case.
   *
   * @return the name
   */
  String title();

  /**
   * Runs the case; the same seed gives the same figures.
   *
   * @param seed seed of every random choice
   * @return a figure for each measure, in the same order for every seed
   */
  List<Measure> run(long seed);
}
