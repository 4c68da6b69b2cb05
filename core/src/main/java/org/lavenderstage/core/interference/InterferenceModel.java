package org.lavenderstage.core.interference;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates, from late reports, by how much each batch class raises the latency of each service,
 * depending on the service's load.
 */
public final class InterferenceModel {
  private static final double CAUTION = 0.5;

  private final Map<String, Integer> classIndex = new HashMap<>();
  private final Map<String, ServiceFilter> filters = new HashMap<>();

  /** Starts without evidence. */
  public InterferenceModel() {}

  /**
   * Takes in a report.
   *
   * @param report the report of a worker, however late
   */
  public void observe(UsageReport report) {
    for (TaskUsage task : report.tasks()) {
      indexOf(task.batchClass());
    }
    double[] cpuMillis = new double[classIndex.size()];
    for (TaskUsage task : report.tasks()) {
      cpuMillis[indexOf(task.batchClass())] += task.cpuMillis();
    }
    for (ServiceUsage service : report.services()) {
      filters
          .computeIfAbsent(service.service(), name -> new ServiceFilter())
          .observe(service.latencyMicros(), bounded(service.load()), cpuMillis);
    }
  }

  private int indexOf(String batchClass) {
    return classIndex.computeIfAbsent(batchClass, name -> classIndex.size());
  }

  private static double bounded(double load) {
    return Math.max(0, Math.min(1, load));
  }

  /**
   * Estimates the rise of a service's latency for each core of a batch class beside it.
   *
   * @param pair the service and the batch class
   * @param load load of the service from 0 to 1
   * @return the expected rise, where 0.01 is one hundredth of the latency without batch work
   */
  public double slope(PairKey pair, double load) {
    ServiceFilter filter = filters.get(pair.service());
    Integer index = classIndex.get(pair.batchClass());
    return filter == null || index == null ? 0 : filter.slope(index, bounded(load));
  }

  /**
   * Estimates the rise with a margin for what is not known yet, which bounds how much of an unknown
   * class is put beside a service.
   *
   * @param pair the service and the batch class
   * @param load load of the service from 0 to 1
   * @return the expected rise and a part of its standard deviation
   */
  public double cautiousSlope(PairKey pair, double load) {
    ServiceFilter filter = filters.get(pair.service());
    if (filter == null) {
      return 0;
    }
    int index = classIndex.getOrDefault(pair.batchClass(), Integer.MAX_VALUE / 4);
    return slope(pair, load) + CAUTION * filter.deviation(index, bounded(load));
  }

  /**
   * Compares a measured latency with the one that is expected without batch work.
   *
   * @param usage what was measured
   * @return the rise, where 0.1 is one tenth, and 0 without evidence
   */
  public double rise(ServiceUsage usage) {
    ServiceFilter filter = filters.get(usage.service());
    return filter == null ? 0 : filter.rise(usage.latencyMicros(), bounded(usage.load()));
  }
}
