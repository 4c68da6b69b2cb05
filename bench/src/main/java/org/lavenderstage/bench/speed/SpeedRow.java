package org.lavenderstage.bench.speed;

import java.util.Arrays;
import java.util.Locale;

/**
 * One row of the table of results: a measure over several repeats.
 *
 * @param name what was measured, with its unit
 * @param target target, as a comparison with the bound; empty if there is none
 * @param median median of the repeats
 * @param lowest smallest repeat
 * @param highest largest repeat
 * @param met whether the median meets the target
 */
public record SpeedRow(
    String name, String target, double median, double lowest, double highest, boolean met) {
  static SpeedRow atLeast(String name, double bound, double[] repeats) {
    double[] sorted = sorted(repeats);
    double median = sorted[sorted.length / 2];
    return row(name, String.format(Locale.ROOT, ">= %.0f", bound), sorted, median >= bound);
  }

  static SpeedRow atMost(String name, double bound, double[] repeats) {
    double[] sorted = sorted(repeats);
    double median = sorted[sorted.length / 2];
    return row(name, String.format(Locale.ROOT, "<= %.0f", bound), sorted, median <= bound);
  }

  static SpeedRow withoutTarget(String name, double[] repeats) {
    return row(name, "", sorted(repeats), true);
  }

  private static SpeedRow row(String name, String target, double[] sorted, boolean met) {
    double median = sorted[sorted.length / 2];
    return new SpeedRow(name, target, median, sorted[0], sorted[sorted.length - 1], met);
  }

  private static double[] sorted(double[] repeats) {
    double[] sorted = repeats.clone();
    Arrays.sort(sorted);
    return sorted;
  }

  @Override
  public String toString() {
    String verdict = target.isEmpty() ? "" : met ? "met" : "MISSED";
    return String.format(
        Locale.ROOT,
        "%-52s %12s %14.4g  [%.4g..%.4g]  %s",
        name,
        target,
        median,
        lowest,
        highest,
        verdict);
  }
}
