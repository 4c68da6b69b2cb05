package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates of the interference coefficients: by how much best-effort tasks of one image would
 * raise the utilization of serving tasks of another if they used all processors of a worker. The
 * coefficients differ from pair to pair: most images hardly interfere, and one that does not affect
 * one service may overload another. The estimate of an unseen pair is the mean of the prior and the
 * other pairs of the best-effort image. The uncertainty of every estimate grows with time, since
 * coefficients drift.
 */
final class InterferenceTable {
  /** Coefficient assumed for an unknown image; that of an image with moderate interference. */
  private static final double PRIOR_MEAN = 0.8;

  /**
   * Standard deviation of the coefficient of an unknown image; images without interference and with
   * heavy interference lie within two standard deviations.
   */
  private static final double PRIOR_DEVIATION = 1.3;

  /** Maximum coefficient that an estimate may reach. */
  private static final double MAX_COEFFICIENT = 8;

  /** Drift of every coefficient within one second, as a standard deviation. */
  private static final double MIN_DRIFT = 0.03;

  /** Additional drift within one second, as a fraction of the coefficient. */
  private static final double RELATIVE_DRIFT = 0.08;

  private final Map<ImagePair, Estimate> estimates = new HashMap<>();
  private final Map<String, ImageSum> sums = new HashMap<>();

  /** A serving and a best-effort image. */
  private record ImagePair(String serving, String bestEffort) {}

  /** The estimated coefficient of a pair. */
  record Estimate(double mean, double variance, long updatedAtMillis) {
    double deviation() {
      return Math.sqrt(variance);
    }
  }

  /** The sum and number of the estimated coefficients of one best-effort image. */
  private record ImageSum(double sum, int count) {}

  /** Returns the current estimate of a pair. */
  Estimate currentEstimate(String serving, String bestEffort, long nowMillis) {
    Estimate known = estimates.get(new ImagePair(serving, bestEffort));
    if (known == null) {
      return prior(bestEffort, nowMillis);
    }
    double seconds = Math.max(0, nowMillis - known.updatedAtMillis) / 1_000.0;
    double drift = MIN_DRIFT + RELATIVE_DRIFT * known.mean;
    double variance = known.variance + drift * drift * seconds;
    return new Estimate(
        known.mean, Math.min(PRIOR_DEVIATION * PRIOR_DEVIATION, variance), nowMillis);
  }

  private Estimate prior(String bestEffort, long nowMillis) {
    ImageSum imageSum = sums.getOrDefault(bestEffort, new ImageSum(0, 0));
    double mean = (PRIOR_MEAN + imageSum.sum) / (1 + imageSum.count);
    return new Estimate(mean, PRIOR_DEVIATION * PRIOR_DEVIATION / (1 + imageSum.count), nowMillis);
  }

  /**
   * Returns the mean coefficient of a best-effort image over the serving images that it ran beside.
   */
  double meanCoefficient(String bestEffort) {
    ImageSum imageSum = sums.get(bestEffort);
    return imageSum == null ? PRIOR_MEAN : Math.max(0, imageSum.sum / imageSum.count);
  }

  /**
   * Updates the estimate of a pair by a Kalman filter step.
   *
   * @param share fraction of the worker's processors that the best-effort tasks of the image used
   * @param residual observed minus predicted utilization
   * @param variance variance of the residual
   * @param nowMillis monotonic time in milliseconds
   */
  void correctEstimate(
      String serving,
      String bestEffort,
      double share,
      double residual,
      double variance,
      long nowMillis) {
    Estimate before = currentEstimate(serving, bestEffort, nowMillis);
    double gain = before.variance * share / variance;
    double mean = Math.max(0, Math.min(MAX_COEFFICIENT, before.mean + gain * residual));
    Estimate after = new Estimate(mean, before.variance * (1 - gain * share), nowMillis);
    Estimate old = estimates.put(new ImagePair(serving, bestEffort), after);
    sums.merge(
        bestEffort,
        new ImageSum(mean, 1),
        (sum, one) ->
            old == null
                ? new ImageSum(sum.sum + mean, sum.count + 1)
                : new ImageSum(sum.sum + mean - old.mean, sum.count));
  }
}
