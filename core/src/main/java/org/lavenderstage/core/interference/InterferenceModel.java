package org.lavenderstage.core.interference;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates from delayed reports how much each batch class increases the latency of each service,
 * as a function of the load of the service.
 */
public final class InterferenceModel {
  private static final double DEVIATION_WEIGHT = 0.5;

  private final Map<String, Integer> classIndex = new HashMap<>();
  private final Map<String, LatencyFilter> filters = new HashMap<>();

  /** Creates a model without observations. */
  public InterferenceModel() {}

  /**
   * Updates the estimates from a report.
   *
   * @param report the report of a worker, which may arrive with any delay
   */
  public void observe(UsageReport report) {
    for (TaskUsage task : report.tasks()) {
      classIndexOf(task.batchClass());
    }
    double[] cpuMillis = new double[classIndex.size()];
    for (TaskUsage task : report.tasks()) {
      cpuMillis[classIndexOf(task.batchClass())] += task.cpuMillis();
    }
    for (ServiceUsage service : report.services()) {
      filters
          .computeIfAbsent(service.service(), name -> new LatencyFilter())
          .observe(service.latencyMicros(), clampLoad(service.load()), cpuMillis);
    }
  }

  private int classIndexOf(String batchClass) {
    return classIndex.computeIfAbsent(batchClass, name -> classIndex.size());
  }

  private static double clampLoad(double load) {
    return Math.max(0, Math.min(1, load));
  }

  /**
   * Estimates by how much each core that a batch class uses on a worker increases the latency of a
   * service on the same worker.
   *
   * @param pair the service and the batch class
   * @param load the load of the service, from 0 to 1
   * @return the expected relative increase per core; 0.01 is 1 % of the latency without batch tasks
   */
  public double slope(PairKey pair, double load) {
    LatencyFilter filter = filters.get(pair.service());
    Integer index = classIndex.get(pair.batchClass());
    return filter == null || index == null ? 0 : filter.slope(index, clampLoad(load));
  }

  /**
   * Estimates the increase per core with a margin for uncertainty. The margin limits how many tasks
   * of an unknown class are placed on the worker of a service.
   *
   * @param pair the service and the batch class
   * @param load the load of the service, from 0 to 1
   * @return the expected relative increase per core, plus a fraction of its standard deviation
   */
  public double conservativeSlope(PairKey pair, double load) {
    LatencyFilter filter = filters.get(pair.service());
    if (filter == null) {
      return 0;
    }
    int index = classIndex.getOrDefault(pair.batchClass(), Integer.MAX_VALUE / 4);
    return slope(pair, load) + DEVIATION_WEIGHT * filter.slopeDeviation(index, clampLoad(load));
  }

  /**
   * Compares a measured latency with the latency expected without batch tasks.
   *
   * @param usage the measured usage and latency of a service
   * @return the relative increase, where 0.1 is 10 %; 0 if there are no observations
   */
  public double latencyIncrease(ServiceUsage usage) {
    LatencyFilter filter = filters.get(usage.service());
    return filter == null
        ? 0
        : filter.latencyIncrease(usage.latencyMicros(), clampLoad(usage.load()));
  }
}
