package org.lavenderstage.core.interference;

import java.util.Arrays;

/**
 * A Kalman filter for one service. The state is the latency without batch work at three loads and,
 * for each batch class, the rise of the latency per ten cores at low and at high load. The state is
 * a random walk, so that old evidence fades.
 */
final class ServiceFilter {
  private static final int BASE_FEATURES = 3;
  private static final int FEATURES_PER_CLASS = 2;
  private static final double MILLIS_PER_UNIT = 10_000;
  private static final double BASE_VARIANCE = 0.25;
  private static final double SLOPE_VARIANCE = 0.09;
  private static final double BASE_DRIFT = 0.000004;
  private static final double SLOPE_DRIFT = 0.00002;
  private static final double NOISE_VARIANCE = 0.0016;
  private static final double SURPRISE = 9;
  private static final double SURPRISE_VARIANCE = 0.02;
  private static final double FADE = 0.998;

  private double[] state = {1, 1, 1};
  private double[][] covariance = diagonal(BASE_FEATURES);
  private double scaleMicros;

  private static double[][] diagonal(int size) {
    double[][] matrix = new double[size][size];
    for (int i = 0; i < size; i++) {
      matrix[i][i] = startVariance(i);
    }
    return matrix;
  }

  private static double startVariance(int feature) {
    return feature < BASE_FEATURES ? BASE_VARIANCE : SLOPE_VARIANCE;
  }

  void observe(double latencyMicros, double load, double[] cpuMillisByClass) {
    if (latencyMicros <= 0) {
      return;
    }
    if (scaleMicros == 0) {
      scaleMicros = latencyMicros;
    }
    grow(cpuMillisByClass.length);
    double[] features = features(load, cpuMillisByClass);
    drift(features);
    double error = latencyMicros / scaleMicros - dot(state, features);
    double[] projected = project(features);
    double variance = dot(projected, features) + NOISE_VARIANCE;
    if (error * error > SURPRISE * variance) {
      doubt(features);
      projected = project(features);
      variance = dot(projected, features) + NOISE_VARIANCE;
    }
    correct(projected, variance, error);
  }

  private void grow(int classes) {
    int size = BASE_FEATURES + FEATURES_PER_CLASS * classes;
    int known = state.length;
    if (size <= known) {
      return;
    }
    double[][] larger = diagonal(size);
    for (int i = 0; i < known; i++) {
      System.arraycopy(covariance[i], 0, larger[i], 0, known);
    }
    state = Arrays.copyOf(state, size);
    covariance = larger;
  }

  private double[] features(double load, double[] cpuMillisByClass) {
    double[] features = new double[state.length];
    fillBase(features, load);
    for (int c = 0; c < cpuMillisByClass.length; c++) {
      double amount = cpuMillisByClass[c] / MILLIS_PER_UNIT;
      features[slopeIndex(c)] = amount * (1 - load);
      features[slopeIndex(c) + 1] = amount * load;
    }
    return features;
  }

  private static int slopeIndex(int batchClass) {
    return BASE_FEATURES + FEATURES_PER_CLASS * batchClass;
  }

  private static void fillBase(double[] features, double load) {
    double twice = 2 * load;
    features[0] = Math.max(0, 1 - twice);
    features[1] = 1 - Math.abs(1 - twice);
    features[2] = Math.max(0, twice - 1);
  }

  /** Lets variances grow up to where they started, and slopes without evidence fade. */
  private void drift(double[] features) {
    for (int i = 0; i < state.length; i++) {
      double drift = i < BASE_FEATURES ? BASE_DRIFT : SLOPE_DRIFT;
      covariance[i][i] =
          Math.max(covariance[i][i], Math.min(startVariance(i), covariance[i][i] + drift));
      if (i >= BASE_FEATURES && features[i] == 0) {
        state[i] *= FADE;
      }
    }
  }

  private void doubt(double[] features) {
    for (int i = BASE_FEATURES; i < state.length; i++) {
      if (features[i] > 0) {
        covariance[i][i] += SURPRISE_VARIANCE;
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

  private void correct(double[] projected, double variance, double error) {
    for (int i = 0; i < state.length; i++) {
      state[i] += projected[i] / variance * error;
      for (int j = 0; j < state.length; j++) {
        covariance[i][j] -= projected[i] * projected[j] / variance;
      }
    }
  }

  /** Mean rise per core as a part of the latency without batch work. */
  double slope(int batchClass, double load) {
    int index = slopeIndex(batchClass);
    if (index >= state.length) {
      return 0;
    }
    double rise = state[index] * (1 - load) + state[index + 1] * load;
    return Math.max(0, rise) * 1000 / MILLIS_PER_UNIT / base(load);
  }

  /** Standard deviation of {@link #slope}. */
  double deviation(int batchClass, double load) {
    int index = slopeIndex(batchClass);
    double low = 1 - load;
    double variance = SLOPE_VARIANCE * (low * low + load * load);
    if (index < state.length) {
      variance =
          covariance[index][index] * low * low
              + 2 * covariance[index][index + 1] * low * load
              + covariance[index + 1][index + 1] * load * load;
    }
    return Math.sqrt(Math.max(0, variance)) * 1000 / MILLIS_PER_UNIT / base(load);
  }

  private double base(double load) {
    double[] features = new double[BASE_FEATURES];
    fillBase(features, load);
    double base = state[0] * features[0] + state[1] * features[1] + state[2] * features[2];
    return Math.max(0.1, base);
  }

  /** Rise of a measured latency over that without batch work, 0 for none. */
  double rise(double latencyMicros, double load) {
    return scaleMicros == 0 ? 0 : latencyMicros / scaleMicros / base(load) - 1;
  }

  private static double dot(double[] a, double[] b) {
    double sum = 0;
    for (int i = 0; i < a.length; i++) {
      sum += a[i] * b[i];
    }
    return sum;
  }
}
