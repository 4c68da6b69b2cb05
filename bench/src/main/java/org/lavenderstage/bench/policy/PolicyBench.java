package org.lavenderstage.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Runs scenarios with several seeds and computes the median and range of each measure. */
public final class PolicyBench {
  private PolicyBench() {}

  /**
   * Runs one scenario.
   *
   * @param scenario scenario to run
   * @param firstSeed first seed; each further seed is larger by one
   * @param seeds number of seeds
   * @return one row for each measure
   */
  public static List<ResultRow> run(Scenario scenario, long firstSeed, int seeds) {
    List<List<Measure>> runs = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      runs.add(scenario.run(firstSeed + i));
    }
    List<ResultRow> rows = new ArrayList<>();
    for (int i = 0; i < runs.get(0).size(); i++) {
      int index = i;
      rows.add(row(scenario, runs.stream().map(run -> run.get(index)).toList()));
    }
    return rows;
  }

  private static ResultRow row(Scenario scenario, List<Measure> measures) {
    Measure first = measures.get(0);
    double[] figures = sorted(measures, Measure::figure);
    double[] baselines = sorted(measures, Measure::baseline);
    String sign = first.sense() == Measure.Sense.AT_MOST ? "<= " : ">= ";
    double median = median(figures);
    return new ResultRow(
        scenario.number(),
        scenario.title(),
        first.name(),
        sign + first.bound(),
        median(baselines),
        median,
        figures[0],
        figures[figures.length - 1],
        first.isMetBy(median));
  }

  private static double[] sorted(List<Measure> measures, ToDoubleFunction<Measure> value) {
    double[] values = measures.stream().mapToDouble(value).toArray();
    Arrays.sort(values);
    return values;
  }

  private static double median(double[] sorted) {
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
