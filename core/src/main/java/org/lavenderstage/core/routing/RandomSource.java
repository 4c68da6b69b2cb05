package org.lavenderstage.core.routing;

/** Gives random numbers to policies, so that a run with the same seed chooses the same. */
@FunctionalInterface
public interface RandomSource {
  /**
   * Returns a random number.
   *
   * @param bound one more than the largest number
   * @return a number from zero on
   */
  int nextInt(int bound);
}
