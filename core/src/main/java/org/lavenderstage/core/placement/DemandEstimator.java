package org.lavenderstage.core.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the CPU demand of a task from its declared demand and the observed usage of tasks of
 * the same workspace and batch class. The declared demand is the prior; its weight falls with each
 * observation.
 */
public final class DemandEstimator {
  private static final int WINDOW_SIZE = 64;
  private static final int MIN_OBSERVATIONS = 5;
  private static final double PRIOR_WEIGHT = 2;

  private final double quantile;
  private final Map<WorkloadKey, Window> windows = new HashMap<>();

  /**
   * Creates an estimator without observations.
   *
   * @param quantile the fraction of the tasks that the estimate covers, from 0 to 1
   */
  public DemandEstimator(double quantile) {
    this.quantile = quantile;
  }

  /**
   * Records the CPU usage of a task.
   *
   * @param workload the workspace and batch class of the task
   * @param cpuMillis the CPU used, in thousandths of a core; 0 if unknown, which is ignored
   */
  public void observe(WorkloadKey workload, int cpuMillis) {
    if (cpuMillis > 0) {
      windows.computeIfAbsent(workload, key -> new Window()).add(cpuMillis);
    }
  }

  /**
   * Estimates the CPU that a task will use.
   *
   * @param workload the workspace and batch class of the task
   * @param declaredCpuMillis the declared CPU demand in thousandths of a core
   * @return the estimate in thousandths of a core; the declared demand if there are too few
   *     observations
   */
  public int estimate(WorkloadKey workload, int declaredCpuMillis) {
    Window window = windows.get(workload);
    if (window == null || window.size() < MIN_OBSERVATIONS) {
      return declaredCpuMillis;
    }
    double weight = window.size() / (window.size() + PRIOR_WEIGHT);
    double logarithm =
        weight * Math.log(window.quantile(quantile))
            + (1 - weight) * Math.log(Math.max(1, declaredCpuMillis));
    return (int) Math.ceil(Math.exp(logarithm));
  }

  /** A ring buffer of the last {@value #WINDOW_SIZE} observations. */
  private static final class Window {
    private final int[] values = new int[WINDOW_SIZE];
    private int count;

    void add(int value) {
      values[count % WINDOW_SIZE] = value;
      count++;
    }

    int size() {
      return Math.min(count, WINDOW_SIZE);
    }

    int quantile(double fraction) {
      int[] sorted = Arrays.copyOf(values, size());
      Arrays.sort(sorted);
      return sorted[(int) Math.min(sorted.length - 1L, (long) (fraction * sorted.length))];
    }
  }
}
