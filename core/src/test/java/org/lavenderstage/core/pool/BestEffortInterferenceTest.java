package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.StepSpec;

/**
 * Submits wide best-effort jobs of images that may overload serving tasks, on workers that report a
 * noisy tail latency once a second and have no faults. The bound is required by the users: no
 * serving task exceeds its target for four seconds without interruption because of best-effort
 * tasks.
 */
class BestEffortInterferenceTest {
  private static final int WORKERS = 8;
  private static final int WORKER_CPU = 32_000;
  private static final int SERVING_IMAGES = 5;
  private static final int BEST_EFFORT_IMAGES = 9;
  private static final int TARGET_MILLIS = 24;
  private static final int BASE_LATENCY_MILLIS = 4;
  private static final long MAX_OVER_TARGET_MILLIS = 4_000;
  private static final long MEASURED_MILLIS = 60_000;

  private static StepSpec serving(String image) {
    return StepBuilder.ofServing(6, 6_400, image, TARGET_MILLIS)
        .memoryMb(13_000)
        .maxPerWorker(1)
        .build();
  }

  private static StepSpec bestEffort(
      String image, int count, long millis, boolean checkpointing, List<Integer> dependsOn) {
    return StepBuilder.ofBestEffort(count, 3_500, millis, image)
        .memoryMb(6_400)
        .after(dependsOn)
        .checkpointing(checkpointing)
        .build();
  }

  private static SimulatedInterference interference(long seed, Random random) {
    SimulatedInterference model = new SimulatedInterference(seed, 0.48, 0.5, 10_000);
    model.baseLatencyMillis = BASE_LATENCY_MILLIS;
    model.coefficientSwing = 0.3;
    model.windowMillis = BestEffortInterference.REPORT_WINDOW_MILLIS;
    for (int bestEffortImage = 0; bestEffortImage < BEST_EFFORT_IMAGES; bestEffortImage++) {
      boolean heavy = random.nextDouble() < 0.65;
      int mostAffected = random.nextInt(SERVING_IMAGES);
      for (int servingImage = 0; servingImage < SERVING_IMAGES; servingImage++) {
        boolean interferes = heavy && (servingImage == mostAffected || random.nextDouble() < 0.2);
        double coefficient = interferes ? 1.5 + 3.5 * random.nextDouble() : 0.07;
        model.setCoefficient("f" + bestEffortImage, "s" + servingImage, coefficient);
      }
    }
    return model;
  }

  private static SimulatedInterference simulate(long seed) {
    Random random = new Random(seed);
    SimulatedInterference model = interference(seed, random);
    PoolSimulation simulation = new PoolSimulation(seed, WORKERS);
    simulation.longPolling = true;
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.interference = Optional.of(model);
    }
    simulation.run(500);
    for (int i = 0; i < SERVING_IMAGES; i++) {
      simulation.submit(List.of(serving("s" + i)), 0);
    }
    simulation.run(5_000);
    long end = simulation.now + MEASURED_MILLIS;
    while (simulation.now < end) {
      String image = "f" + random.nextInt(BEST_EFFORT_IMAGES);
      int count = 2 + random.nextInt(12);
      long millis = 1_000L + random.nextInt(4_000);
      boolean supportsCheckpoints = random.nextDouble() < 0.85;
      simulation.submit(
          List.of(
              bestEffort(image, count, millis, supportsCheckpoints, List.of()),
              bestEffort(image, count, millis, supportsCheckpoints, List.of(0))),
          2);
      simulation.run(400 + random.nextInt(1_600));
    }
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    return model;
  }

  /**
   * Best-effort tasks were slowed one per report beside a saturated serving task, whose tail
   * latency does not show the overload.
   */
  @Test
  void noServingTaskExceedsItsTargetForLongBesideWideBestEffortJobs() {
    for (long seed : List.of(19L, 62L)) {
      SimulatedInterference model = simulate(seed);
      assertTrue(
          model.longestOverTargetByInterferenceMillis < MAX_OVER_TARGET_MILLIS,
          "seed " + seed + ": " + model.longestOverTargetByInterferenceMillis + " ms");
    }
  }
}
