package org.lavenderstage.core.interference;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class InterferenceModelTest {
  private static final PairKey NOISY = new PairKey("service", "noisy");
  private static final PairKey QUIET = new PairKey("service", "quiet");

  private final InterferenceModel model = new InterferenceModel();
  private final Random random = new Random(1);

  @Test
  void attributesTheLatencyIncreaseToTheInterferingClass() {
    observeRandomReports(60, 0.05, 0);
    assertEquals(0.05, model.slope(NOISY, 0.5), 0.01);
    assertEquals(0, model.slope(QUIET, 0.5), 0.004);
  }

  @Test
  void adaptsToAChangedPairWithinThreeMinutesOfReports() {
    observeRandomReports(200, 0, 0);
    assertTrue(model.slope(QUIET, 0.5) < 0.005);
    observeRandomReports(60, 0, 0.04);
    assertEquals(0.04, model.slope(QUIET, 0.5), 0.012);
  }

  @Test
  void estimatesASteeperSlopeAtHighLoad() {
    for (int i = 0; i < 400; i++) {
      double load = random.nextDouble();
      double cores = random.nextInt(12);
      observe(load, cores, 0, (1 + load * load) * (1 + 0.06 * load * cores));
    }
    assertTrue(model.slope(NOISY, 0.9) > 2 * model.slope(NOISY, 0.3));
  }

  @Test
  void blamesTheWrongClassIfReportsAreJoinedToTheTasksRunningOnArrival() {
    for (int i = 0; i < 60; i++) {
      double cores = 2 + random.nextInt(10);
      boolean even = i / 3 % 2 == 0;
      double factor = 1 + (even ? 0.05 * cores : 0);
      boolean laterEven = (i + 3) / 3 % 2 == 0;
      observe(0.5, laterEven ? cores : 0, laterEven ? 0 : cores, factor);
    }
    assertTrue(model.slope(NOISY, 0.5) < 0.01);
    assertTrue(model.slope(QUIET, 0.5) > 0.03);
  }

  @Test
  void conservativeSlopeIsLargerForAnUnknownClassThanForAKnownOne() {
    observeRandomReports(60, 0, 0);
    double unknown = model.conservativeSlope(new PairKey("service", "unknown"), 0.5);
    assertTrue(unknown > 3 * model.conservativeSlope(QUIET, 0.5));
  }

  private void observeRandomReports(int reports, double noisySlope, double quietSlope) {
    for (int i = 0; i < reports; i++) {
      double noisy = random.nextInt(12);
      double quiet = random.nextInt(12);
      double noise = 1 + 0.03 * random.nextGaussian();
      observe(0.5, noisy, quiet, (1 + noisySlope * noisy + quietSlope * quiet) * noise);
    }
  }

  private void observe(double load, double noisyCores, double quietCores, double factor) {
    model.observe(
        new UsageReport(
            "worker",
            0,
            10_000,
            List.of(new ServiceUsage("service", 20_000 * factor, load)),
            List.of(
                new TaskUsage("a", 1, "noisy", (int) (1000 * noisyCores), false),
                new TaskUsage("b", 1, "quiet", (int) (1000 * quietCores), false))));
  }
}
