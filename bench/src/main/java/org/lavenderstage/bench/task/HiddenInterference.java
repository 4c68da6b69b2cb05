package org.lavenderstage.bench.task;

/**
 * The interference that the planner has to learn: the relative latency increase that a core of each
 * batch class causes to each service. It depends on the pair and grows with the load of the
 * service; one pair changes midway.
 */
final class HiddenInterference {
  static final int SERVICES = 3;
  static final long CHANGE_MILLIS = 1_800_000;

  private static final double BASE_LATENCY_MICROS = 20_000;
  private static final double CHANGED_SLOPE = 0.04;
  private static final double LOAD_PERIOD_MILLIS = 1_500_000;

  private final double[][] slopes;
  private final double[] phases = new double[SERVICES];
  private int changedService;
  private int changedClass;

  HiddenInterference(Draws draws, int classes) {
    slopes = new double[SERVICES][classes];
    for (int s = 0; s < SERVICES; s++) {
      phases[s] = draws.between(0, 2 * Math.PI);
      for (int c = 0; c < classes; c++) {
        slopes[s][c] = slope(draws);
      }
    }
    makeNoisy(draws, classes - 1);
    chooseChange(draws, classes - 1);
  }

  private static double slope(Draws draws) {
    double kind = draws.between(0, 1);
    if (kind < 0.55) {
      return draws.logBetween(0.0002, 0.0015);
    }
    return kind < 0.8 ? draws.between(0.003, 0.008) : draws.between(0.02, 0.05);
  }

  private void makeNoisy(Draws draws, int noisyClass) {
    int quietService = draws.below(SERVICES);
    for (int s = 0; s < SERVICES; s++) {
      slopes[s][noisyClass] =
          s == quietService ? draws.between(0.003, 0.006) : draws.between(0.03, 0.06);
    }
  }

  private void chooseChange(Draws draws, int classes) {
    do {
      changedService = draws.below(SERVICES);
      changedClass = draws.below(classes);
    } while (slopes[changedService][changedClass] > 0.008);
  }

  double load(int service, long nowMillis) {
    return 0.55 + 0.3 * Math.sin(2 * Math.PI * nowMillis / LOAD_PERIOD_MILLIS + phases[service]);
  }

  double latencyIncrease(int service, double[] coresByClass, long nowMillis) {
    double sum = 0;
    for (int c = 0; c < coresByClass.length; c++) {
      sum += pairLatencyIncrease(service, c, coresByClass[c], nowMillis);
    }
    return sum;
  }

  private double pairLatencyIncrease(int service, int batchClass, double cores, long nowMillis) {
    boolean changed =
        nowMillis >= CHANGE_MILLIS && service == changedService && batchClass == changedClass;
    double slope = changed ? CHANGED_SLOPE : slopes[service][batchClass];
    double shape = 0.4 + load(service, nowMillis);
    return slope * cores * shape * shape;
  }

  /** Returns the latency increase that the changed pair causes, 0 for another service. */
  double changedPairLatencyIncrease(int service, double[] coresByClass, long nowMillis) {
    return service == changedService
        ? pairLatencyIncrease(service, changedClass, coresByClass[changedClass], nowMillis)
        : 0;
  }

  boolean isChanged(int service) {
    return service == changedService;
  }

  /** Returns the mean latency without batch work, in microseconds. */
  double baseMicros(int service, long nowMillis) {
    double load = load(service, nowMillis);
    return BASE_LATENCY_MICROS * (1 + load * load);
  }
}
