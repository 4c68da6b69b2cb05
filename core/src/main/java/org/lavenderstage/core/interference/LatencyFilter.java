package org.lavenderstage.core.interference;

import java.util.Arrays;

/**
 * A Kalman filter that estimates the latency of one service. The state consists of the latency
 * without batch tasks at three loads and, for each batch class, the latency increase per ten cores
 * at low and at high load. Latencies are relative to the first one observed. The state is modelled
 * as a random walk, so that older observations lose weight.
 */
final class LatencyFilter {
  private static final int BASE_FEATURES = 3;
  private static final int FEATURES_PER_CLASS = 2;
  private static final double CPU_MILLIS_PER_UNIT = 10_000;
  private static final double BASE_VARIANCE = 0.25;
  private static final double SLOPE_VARIANCE = 0.09;
  private static final double BASE_PROCESS_NOISE = 0.000004;
  private static final double SLOPE_PROCESS_NOISE = 0.00002;
  private static final double MEASUREMENT_VARIANCE = 0.0016;

  /** The ratio of a squared residual to its variance above which it is an outlier (3 sigma). */
  private static final double OUTLIER_RATIO = 9;

  /** The variance added to the slopes of running batch classes after an outlier. */
  private static final double OUTLIER_VARIANCE = 0.02;

  private static final double SLOPE_DECAY = 0.998;

  private double[] state = {1, 1, 1};
  private double[][] covariance = diagonal(BASE_FEATURES);
  private double scaleMicros;

  private static double[][] diagonal(int size) {
    double[][] matrix = new double[size][size];
    for (int i = 0; i < size; i++) {
      matrix[i][i] = initialVariance(i);
    }
    return matrix;
  }

  private static double initialVariance(int feature) {
    return feature < BASE_FEATURES ? BASE_VARIANCE : SLOPE_VARIANCE;
  }

  void observe(double latencyMicros, double load, double[] cpuMillisByClass) {
    if (latencyMicros <= 0) {
      return;
    }
    if (scaleMicros == 0) {
      scaleMicros = latencyMicros;
    }
    growState(cpuMillisByClass.length);
    double[] features = features(load, cpuMillisByClass);
    predict(features);
    double residual = latencyMicros / scaleMicros - dot(state, features);
    double[] projected = project(features);
    double variance = dot(projected, features) + MEASUREMENT_VARIANCE;
    if (residual * residual > OUTLIER_RATIO * variance) {
      inflateSlopeVariances(features);
      projected = project(features);
      variance = dot(projected, features) + MEASUREMENT_VARIANCE;
    }
    correct(projected, variance, residual);
  }

  private void growState(int classes) {
    int size = BASE_FEATURES + FEATURES_PER_CLASS * classes;
    int oldSize = state.length;
    if (size <= oldSize) {
      return;
    }
    double[][] larger = diagonal(size);
    for (int i = 0; i < oldSize; i++) {
      System.arraycopy(covariance[i], 0, larger[i], 0, oldSize);
    }
    state = Arrays.copyOf(state, size);
    covariance = larger;
  }

  private double[] features(double load, double[] cpuMillisByClass) {
    double[] features = new double[state.length];
    fillBaseFeatures(features, load);
    for (int c = 0; c < cpuMillisByClass.length; c++) {
      double amount = cpuMillisByClass[c] / CPU_MILLIS_PER_UNIT;
      features[slopeIndex(c)] = amount * (1 - load);
      features[slopeIndex(c) + 1] = amount * load;
    }
    return features;
  }

  private static int slopeIndex(int batchClass) {
    return BASE_FEATURES + FEATURES_PER_CLASS * batchClass;
  }

  private static void fillBaseFeatures(double[] features, double load) {
    double doubledLoad = 2 * load;
    features[0] = Math.max(0, 1 - doubledLoad);
    features[1] = 1 - Math.abs(1 - doubledLoad);
    features[2] = Math.max(0, doubledLoad - 1);
  }

  /**
   * Performs the prediction step: increases the variances, up to their initial values, and lets the
   * slopes of batch classes that are not observed decay.
   */
  private void predict(double[] features) {
    for (int i = 0; i < state.length; i++) {
      double processNoise = i < BASE_FEATURES ? BASE_PROCESS_NOISE : SLOPE_PROCESS_NOISE;
      covariance[i][i] =
          Math.max(covariance[i][i], Math.min(initialVariance(i), covariance[i][i] + processNoise));
      if (i >= BASE_FEATURES && features[i] == 0) {
        state[i] *= SLOPE_DECAY;
      }
    }
  }

  private void inflateSlopeVariances(double[] features) {
    for (int i = BASE_FEATURES; i < state.length; i++) {
      if (features[i] > 0) {
        covariance[i][i] += OUTLIER_VARIANCE;
      }
    }
  }

  private double[] project(double[] features) {
    double[] projected = new double[state.length];
    for (int i = 0; i < state.length; i++) {
      projected[i] = dot(covariance[i], features);
    }
    return projected;
  }

  private void correct(double[] projected, double variance, double residual) {
    for (int i = 0; i < state.length; i++) {
      state[i] += projected[i] / variance * residual;
      for (int j = 0; j < state.length; j++) {
        covariance[i][j] -= projected[i] * projected[j] / variance;
      }
    }
  }

  /** Returns the mean increase per core, relative to the latency without batch tasks. */
  double slope(int batchClass, double load) {
    int index = slopeIndex(batchClass);
    if (index >= state.length) {
      return 0;
    }
    double increase = state[index] * (1 - load) + state[index + 1] * load;
    return Math.max(0, increase) * 1000 / CPU_MILLIS_PER_UNIT / baseLatency(load);
  }

  /** Returns the standard deviation of {@link #slope}. */
  double slopeDeviation(int batchClass, double load) {
    int index = slopeIndex(batchClass);
    double low = 1 - load;
    double variance = SLOPE_VARIANCE * (low * low + load * load);
    if (index < state.length) {
      variance =
          covariance[index][index] * low * low
              + 2 * covariance[index][index + 1] * low * load
              + covariance[index + 1][index + 1] * load * load;
    }
    return Math.sqrt(Math.max(0, variance)) * 1000 / CPU_MILLIS_PER_UNIT / baseLatency(load);
  }

  private double baseLatency(double load) {
    double[] features = new double[BASE_FEATURES];
    fillBaseFeatures(features, load);
    double base = state[0] * features[0] + state[1] * features[1] + state[2] * features[2];
    return Math.max(0.1, base);
  }

  /**
   * Returns the relative increase of a measured latency over the latency without batch tasks; 0 if
   * nothing was observed.
   */
  double latencyIncrease(double latencyMicros, double load) {
    return scaleMicros == 0 ? 0 : latencyMicros / scaleMicros / baseLatency(load) - 1;
  }

  private static double dot(double[] a, double[] b) {
    double sum = 0;
    for (int i = 0; i < a.length; i++) {
      sum += a[i] * b[i];
    }
    return sum;
  }
}
