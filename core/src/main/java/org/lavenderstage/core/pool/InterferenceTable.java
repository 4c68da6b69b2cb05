package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates by how much filling tasks of one image raise the utilization of serving tasks of
 * another, with how sure each estimate is. Pairs differ: most images hardly disturb, and one that
 * is harmless beside one service can ruin another. A pair that was never seen starts between the
 * image's other pairs and the prior; every estimate loses certainty with time, since pressures
 * drift.
 */
final class InterferenceTable {
  /** Pressure expected of an image of which nothing is known; that of a moderate one. */
  private static final double PRIOR_PRESSURE = 0.8;

  /** Standard deviation of a pair of an unknown image; harmless and heavy ones lie within two. */
  private static final double PRIOR_DEVIATION = 1.3;

  /** Largest pressure that is believed. */
  private static final double LARGEST_PRESSURE = 8;

  /** Drift of every pressure within a second, as a standard deviation. */
  private static final double LEAST_DRIFT = 0.03;

  /** Further drift within a second as a part of the pressure itself. */
  private static final double RELATIVE_DRIFT = 0.08;

  private final Map<Pair, Estimate> pairs = new HashMap<>();
  private final Map<String, Image> images = new HashMap<>();

  /** A serving and a filling image. */
  private record Pair(String serving, String filling) {}

  /** What is believed of a pair. */
  record Estimate(double mean, double variance, long steadyMillis) {
    double deviation() {
      return Math.sqrt(variance);
    }
  }

  /** Sum and count of the estimates of the pairs of one filling image. */
  private record Image(double sum, int pairs) {}

  /** Returns what is believed of a pair now. */
  Estimate find(String serving, String filling, long nowMillis) {
    Estimate known = pairs.get(new Pair(serving, filling));
    if (known == null) {
      return unseen(filling, nowMillis);
    }
    double seconds = Math.max(0, nowMillis - known.steadyMillis) / 1_000.0;
    double drift = LEAST_DRIFT + RELATIVE_DRIFT * known.mean;
    double variance = known.variance + drift * drift * seconds;
    return new Estimate(
        known.mean, Math.min(PRIOR_DEVIATION * PRIOR_DEVIATION, variance), nowMillis);
  }

  private Estimate unseen(String filling, long nowMillis) {
    Image image = images.getOrDefault(filling, new Image(0, 0));
    double mean = (PRIOR_PRESSURE + image.sum) / (1 + image.pairs);
    return new Estimate(mean, PRIOR_DEVIATION * PRIOR_DEVIATION / (1 + image.pairs), nowMillis);
  }

  /** Returns the mean pressure of a filling image over the serving images it was seen beside. */
  double ofImage(String filling) {
    Image image = images.get(filling);
    return image == null ? PRIOR_PRESSURE : Math.max(0, image.sum / image.pairs);
  }

  /**
   * Corrects a pair by a Kalman step.
   *
   * @param share part of the worker's processors that the fillers of the image used
   * @param error utilization seen less what was expected
   * @param variance variance of that error
   */
  void correct(
      String serving, String filling, double share, double error, double variance, long nowMillis) {
    Estimate before = find(serving, filling, nowMillis);
    double gain = before.variance * share / variance;
    double mean = Math.max(0, Math.min(LARGEST_PRESSURE, before.mean + gain * error));
    Estimate after = new Estimate(mean, before.variance * (1 - gain * share), nowMillis);
    Estimate old = pairs.put(new Pair(serving, filling), after);
    images.merge(
        filling,
        new Image(mean, 1),
        (sum, one) ->
            old == null
                ? new Image(sum.sum + mean, sum.pairs + 1)
                : new Image(sum.sum + mean - old.mean, sum.pairs));
  }
}
