package org.lavenderstage.core.interference;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class InterferenceModelTest {
  private static final PairKey HARSH = new PairKey("service", "harsh");
  private static final PairKey MILD = new PairKey("service", "mild");

  private final InterferenceModel model = new InterferenceModel();
  private final Random random = new Random(1);

  @Test
  void findsWhichClassOfTwoDisturbs() {
    learn(60, 0.05, 0);
    assertEquals(0.05, model.slope(HARSH, 0.5), 0.01);
    assertEquals(0, model.slope(MILD, 0.5), 0.004);
  }

  @Test
  void learnsAChangedPairFromTheReportsOfThreeMinutes() {
    learn(200, 0, 0);
    assertTrue(model.slope(MILD, 0.5) < 0.005);
    learn(60, 0, 0.04);
    assertEquals(0.04, model.slope(MILD, 0.5), 0.012);
  }

  @Test
  void learnsThatThePairDisturbsMoreAtHighLoad() {
    for (int i = 0; i < 400; i++) {
      double load = random.nextDouble();
      double cores = random.nextInt(12);
      observe(load, cores, 0, (1 + load * load) * (1 + 0.06 * load * cores));
    }
    assertTrue(model.slope(HARSH, 0.9) > 2 * model.slope(HARSH, 0.3));
  }

  @Test
  void joiningLateReportsToWhatRunsOnArrivalLearnsTheWrongClass() {
    for (int i = 0; i < 60; i++) {
      double cores = 2 + random.nextInt(10);
      boolean even = i / 3 % 2 == 0;
      double factor = 1 + (even ? 0.05 * cores : 0);
      boolean laterEven = (i + 3) / 3 % 2 == 0;
      observe(0.5, laterEven ? cores : 0, laterEven ? 0 : cores, factor);
    }
    assertTrue(model.slope(HARSH, 0.5) < 0.01);
    assertTrue(model.slope(MILD, 0.5) > 0.03);
  }

  @Test
  void isMoreCautiousOfAnUnknownClassThanOfAKnownOne() {
    learn(60, 0, 0);
    double unknown = model.cautiousSlope(new PairKey("service", "unknown"), 0.5);
    assertTrue(unknown > 3 * model.cautiousSlope(MILD, 0.5));
  }

  private void learn(int reports, double harshSlope, double mildSlope) {
    for (int i = 0; i < reports; i++) {
      double harsh = random.nextInt(12);
      double mild = random.nextInt(12);
      double noise = 1 + 0.03 * random.nextGaussian();
      observe(0.5, harsh, mild, (1 + harshSlope * harsh + mildSlope * mild) * noise);
    }
  }

  private void observe(double load, double harshCores, double mildCores, double factor) {
    model.observe(
        new UsageReport(
            "worker",
            0,
            10_000,
            List.of(new ServiceUsage("service", 20_000 * factor, load)),
            List.of(
                new TaskUsage("a", 1, "harsh", (int) (1000 * harshCores), false),
                new TaskUsage("b", 1, "mild", (int) (1000 * mildCores), false))));
  }
}
