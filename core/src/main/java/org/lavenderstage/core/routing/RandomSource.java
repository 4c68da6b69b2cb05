package org.lavenderstage.core.routing;

/** A source of random numbers; it is passed to policies, so that a fixed seed repeats a run. */
@FunctionalInterface
public interface RandomSource {
  /**
   * Returns a random number.
   *
   * @param bound upper bound
   * @return a number from 0 (inclusive) to the bound (exclusive)
   */
  int nextInt(int bound);
}
