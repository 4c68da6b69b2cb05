package org.lavenderstage.bench.policy;

import java.util.Locale;

/**
 * One row of the table of results: a measure over several seeds.
 *
 * @param number number of the scenario
 * @param title title of the scenario
 * @param measure what was measured, with its unit
 * @param target target, as a comparison with the bound
 * @param baseline median of the baseline
 * @param figure median of the policy under test
 * @param lowest smallest figure of the policy under test
 * @param highest largest figure of the policy under test
 * @param met whether the median meets the target
 */
public record ResultRow(
    int number,
    String title,
    String measure,
    String target,
    double baseline,
    double figure,
    double lowest,
    double highest,
    boolean met) {
  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%2d  %-44s %-44s %14s %12.4g %12.4g  [%.4g..%.4g]  %s",
        number,
        title,
        measure,
        target,
        baseline,
        figure,
        lowest,
        highest,
        met ? "met" : "MISSED");
  }
}
