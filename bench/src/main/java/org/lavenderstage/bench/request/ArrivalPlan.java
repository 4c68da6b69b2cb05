package org.lavenderstage.bench.request;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the arrivals of a run: Poisson processes with heavy-tailed (lognormal) sizes. */
final class ArrivalPlan {
  static final double MEAN_SIZE_NANOS = 50e6;
  static final long TIMEOUT_NANOS = 2_000_000_000L;
  private static final double SIGMA = 1.2;
  private static final double MAX_SIZE_NANOS = 1.5e9;
  private static final double MIN_SIZE_NANOS = 1e6;
  private static final int SAMPLES = 200_000;

  private final UniformRandomProvider random;
  private final double mu = Math.log(MEAN_SIZE_NANOS) - SIGMA * SIGMA / 2;
  private final double meanNanos;
  private double spareGaussian = Double.NaN;

  ArrivalPlan(long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    UniformRandomProvider fixedSource = RandomSource.XO_SHI_RO_256_PP.create(1L);
    double sum = 0;
    for (int i = 0; i < SAMPLES; i++) {
      sum += size(gaussian(fixedSource));
    }
    meanNanos = sum / SAMPLES;
    spareGaussian = Double.NaN;
  }

  /** A Poisson process of arrivals; its load is given as the mean number of occupied slots. */
  record Stream(String workspace, int rank, double slots, long fromNanos, long untilNanos) {}

  /** Returns the mean size of a request in nanoseconds. */
  double meanNanos() {
    return meanNanos;
  }

  /**
   * Generates the arrivals of all streams, in order of time.
   *
   * @param streams streams to generate
   * @param weights relative number of callers that the load balancer sends to each entry
   */
  List<Arrival> arrivals(List<Stream> streams, double[] weights) {
    List<Arrival> all = new ArrayList<>();
    for (Stream stream : streams) {
      double gap = meanNanos / stream.slots();
      double at = stream.fromNanos() + exponential(gap);
      while (at < stream.untilNanos()) {
        long size = Math.round(size(gaussian(random)));
        all.add(
            new Arrival(Math.round(at), entry(weights), stream.workspace(), stream.rank(), size));
        at += exponential(gap);
      }
    }
    all.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    return all;
  }

  private double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  private int entry(double[] weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double remaining = random.nextDouble() * sum;
    for (int i = 0; i < weights.length - 1; i++) {
      remaining -= weights[i];
      if (remaining < 0) {
        return i;
      }
    }
    return weights.length - 1;
  }

  private double size(double gaussian) {
    double size = Math.exp(mu + SIGMA * gaussian);
    return Math.min(MAX_SIZE_NANOS, Math.max(MIN_SIZE_NANOS, size));
  }

  /** Returns a normally distributed number, by the polar method, which generates two at a time. */
  private double gaussian(UniformRandomProvider source) {
    if (!Double.isNaN(spareGaussian)) {
      double result = spareGaussian;
      spareGaussian = Double.NaN;
      return result;
    }
    double u;
    double v;
    double s;
    do {
      u = 2 * source.nextDouble() - 1;
      v = 2 * source.nextDouble() - 1;
      s = u * u + v * v;
    } while (s >= 1 || s == 0);
    double factor = Math.sqrt(-2 * Math.log(s) / s);
    spareGaussian = v * factor;
    return u * factor;
  }
}
