package org.lavenderstage.core.placement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects declared processors by what tasks of the same workspace and batch class were seen to
 * use. The declaration is the prior, and counts less with each observation.
 */
public final class DemandEstimator {
  private static final int WINDOW = 64;
  private static final int MIN_OBSERVATIONS = 5;
  private static final double PRIOR_WEIGHT = 2;

  private final double quantile;
  private final Map<WorkloadKey, Window> windows = new HashMap<>();

  /**
   * Makes an estimator without observations.
   *
   * @param quantile part of the tasks that the estimate covers, from 0 to 1
   */
  public DemandEstimator(double quantile) {
    this.quantile = quantile;
  }

  /**
   * Takes in what a task used.
   *
   * @param workload workspace and batch class of the task
   * @param cpuMillis processors used in thousandths of a core, 0 where nothing is known
   */
  public void observe(WorkloadKey workload, int cpuMillis) {
    if (cpuMillis > 0) {
      windows.computeIfAbsent(workload, key -> new Window()).add(cpuMillis);
    }
  }

  /**
   * Estimates what a task will use.
   *
   * @param workload workspace and batch class of the task
   * @param declaredCpuMillis declared processors in thousandths of a core
   * @return processors in thousandths of a core
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

  /** The last observations. */
  private static final class Window {
    private final int[] values = new int[WINDOW];
    private int count;

    void add(int value) {
      values[count % WINDOW] = value;
      count++;
    }

    int size() {
      return Math.min(count, WINDOW);
    }

    int quantile(double part) {
      int[] sorted = Arrays.copyOf(values, size());
      Arrays.sort(sorted);
      return sorted[(int) Math.min(sorted.length - 1L, (long) (part * sorted.length))];
    }
  }
}
