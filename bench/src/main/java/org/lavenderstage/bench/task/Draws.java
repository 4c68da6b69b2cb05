package org.lavenderstage.bench.task;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Random numbers of a model. The same seed and stream give the same numbers. */
final class Draws {
  private final UniformRandomProvider random;

  Draws(long seed, int stream) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, stream});
  }

  double between(double low, double high) {
    return low + (high - low) * random.nextDouble();
  }

  double logBetween(double low, double high) {
    return Math.exp(between(Math.log(low), Math.log(high)));
  }

  int below(int bound) {
    return random.nextInt(bound);
  }

  boolean happens(double probability) {
    return random.nextDouble() < probability;
  }

  double gaussian() {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}
