package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.StepSpec;

/**
 * Wide filling jobs of images that may ruin serving tasks, on workers that report a rough tail once
 * a second and without any fault. The bound is the users': no serving task over its target for four
 * seconds on end because of fillers.
 */
class BestEffortHarmTest {
  private static final int WORKERS = 8;
  private static final int WORKER_CPU = 32_000;
  private static final int SERVING_IMAGES = 5;
  private static final int FILLING_IMAGES = 9;
  private static final int TARGET_MILLIS = 24;
  private static final int FLOOR_MILLIS = 4;
  private static final long HARM_MILLIS = 4_000;
  private static final long MEASURED_MILLIS = 60_000;

  private static StepSpec serving(String image) {
    return StepBuilder.ofServing(6, 6_400, image, TARGET_MILLIS)
        .memoryMb(13_000)
        .maxPerWorker(1)
        .build();
  }

  private static StepSpec filling(
      String image, int count, long millis, boolean checkpointing, List<Integer> dependsOn) {
    return StepBuilder.ofBestEffort(count, 3_500, millis, image)
        .memoryMb(6_400)
        .after(dependsOn)
        .checkpointing(checkpointing)
        .build();
  }

  private static SimulatedInterference interference(long seed, Random random) {
    SimulatedInterference model = new SimulatedInterference(seed, 0.48, 0.5, 10_000);
    model.floorMillis = FLOOR_MILLIS;
    model.pressureSwing = 0.3;
    model.spanMillis = BestEffortInterference.REPORT_WINDOW_MILLIS;
    for (int filling = 0; filling < FILLING_IMAGES; filling++) {
      boolean heavy = random.nextDouble() < 0.65;
      int ruined = random.nextInt(SERVING_IMAGES);
      for (int serving = 0; serving < SERVING_IMAGES; serving++) {
        boolean presses = heavy && (serving == ruined || random.nextDouble() < 0.2);
        double pressure = presses ? 1.5 + 3.5 * random.nextDouble() : 0.07;
        model.setCoefficient("f" + filling, "s" + serving, pressure);
      }
    }
    return model;
  }

  private static SimulatedInterference play(long seed) {
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
      String image = "f" + random.nextInt(FILLING_IMAGES);
      int count = 2 + random.nextInt(12);
      long millis = 1_000L + random.nextInt(4_000);
      boolean saves = random.nextDouble() < 0.85;
      simulation.submit(
          List.of(
              filling(image, count, millis, saves, List.of()),
              filling(image, count, millis, saves, List.of(0))),
          2);
      simulation.run(400 + random.nextInt(1_600));
    }
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    return model;
  }

  /** Fillers were slowed one by one, a report each, beside a task whose tail showed no limit. */
  @Test
  void noServingTaskIsOverItsTargetForLongWhereTasksOfOneJobPressTogether() {
    for (long seed : List.of(19L, 62L)) {
      SimulatedInterference model = play(seed);
      assertTrue(
          model.longestHarmMillis < HARM_MILLIS,
          "seed " + seed + ": " + model.longestHarmMillis + " ms");
    }
  }
}
