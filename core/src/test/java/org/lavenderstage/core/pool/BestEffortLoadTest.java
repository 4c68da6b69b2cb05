package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.StepSpec;

/**
 * Submits a stream of best-effort jobs beside serving tasks that reserve four fifths of the
 * processors and use half of that. The bounds are required by the users: no serving task exceeds
 * its target for four seconds without interruption because of best-effort tasks, and best-effort
 * tasks get most of the unused processors.
 */
class BestEffortLoadTest {
  private static final long SEED = 11;
  private static final int WORKERS = 8;
  private static final int WORKER_CPU = 32_000;
  private static final int SERVING_CPU = 6_400;
  private static final int SERVING_JOBS = 8;
  private static final int TARGET_MILLIS = 150;
  private static final long MAX_OVER_TARGET_MILLIS = 4_000;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long MEASURED_MILLIS = 30_000;

  /** Interval between jobs of 48 core-seconds each, which is more than the unused cores can do. */
  private static final long SUBMIT_INTERVAL_MILLIS = 250;

  private static final List<String> SERVING_IMAGES = List.of("s0", "s1", "s2", "s3");

  private static StepSpec serving(int count, String image) {
    return StepBuilder.ofServing(count, SERVING_CPU, image, TARGET_MILLIS)
        .memoryMb(13_000)
        .maxPerWorker(1)
        .build();
  }

  private static StepSpec bestEffort(String image) {
    return StepBuilder.ofBestEffort(8, 3_500, 1_700, image)
        .memoryMb(6_400)
        .checkpointing(true)
        .build();
  }

  private static PoolSimulation newSimulation(SimulatedInterference model) {
    PoolSimulation simulation = new PoolSimulation(SEED, WORKERS);
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.interference = Optional.of(model);
    }
    simulation.run(500);
    for (int i = 0; i < SERVING_JOBS; i++) {
      simulation.submit(List.of(serving(4, SERVING_IMAGES.get(i % SERVING_IMAGES.size()))), 0);
    }
    simulation.run(WARM_UP_MILLIS);
    return simulation;
  }

  /**
   * Submits more best-effort jobs than can run; returns the fraction of the unused cores that they
   * used.
   */
  private static double submitBestEffortJobs(
      PoolSimulation simulation, SimulatedInterference model, List<String> images) {
    double coreMillisBefore = model.bestEffortCoreMillis;
    long end = simulation.now + MEASURED_MILLIS;
    for (int i = 0; simulation.now < end; i++) {
      simulation.submit(List.of(bestEffort(images.get(i % images.size()))), 2);
      simulation.run(SUBMIT_INTERVAL_MILLIS);
    }
    int reservedCpuMillis = SERVING_JOBS * 4 * SERVING_CPU;
    double unusedCpuMillis = WORKERS * WORKER_CPU - reservedCpuMillis * 0.48;
    return (model.bestEffortCoreMillis - coreMillisBefore)
        / (unusedCpuMillis / 1_000 * MEASURED_MILLIS);
  }

  private static SimulatedInterference varyingLoad() {
    return new SimulatedInterference(SEED, 0.48, 0.5, 20_000);
  }

  private static void setLightInterference(SimulatedInterference model, List<String> images) {
    for (String bestEffortImage : images) {
      SERVING_IMAGES.forEach(
          servingImage -> model.setCoefficient(bestEffortImage, servingImage, 0.07));
    }
  }

  @Test
  void bestEffortTasksWithLightInterferenceUseMostUnusedProcessors() {
    SimulatedInterference model = varyingLoad();
    List<String> images = List.of("f0", "f1", "f2", "f3", "f4");
    setLightInterference(model, images);
    PoolSimulation simulation = newSimulation(model);
    double usedFraction = submitBestEffortJobs(simulation, model, images);
    assertTrue(usedFraction > 0.8, "fraction of the unused cores: " + usedFraction);
    assertEquals(0, model.overTargetMillis);
    assertEquals(List.of(), simulation.oracle.violations);
  }

  /** The state after a load, and the fraction of the unused cores that was used. */
  private record LoadResult(
      PoolSimulation simulation, SimulatedInterference model, double usedFraction) {}

  private static LoadResult runWithHeavyImages() {
    SimulatedInterference model = varyingLoad();
    List<String> light = List.of("f0", "f1", "f2", "f3", "f4");
    List<String> heavy = List.of("h0", "h1", "h2", "h3");
    setLightInterference(model, light);
    setLightInterference(model, heavy);
    for (int i = 0; i < heavy.size(); i++) {
      model.setCoefficient(heavy.get(i), SERVING_IMAGES.get(i), 5);
      model.setCoefficient(heavy.get(i), SERVING_IMAGES.get((i + 1) % SERVING_IMAGES.size()), 1.5);
    }
    PoolSimulation simulation = newSimulation(model);
    List<String> images = new ArrayList<>(light);
    images.addAll(heavy);
    return new LoadResult(simulation, model, submitBestEffortJobs(simulation, model, images));
  }

  @Test
  void imagesWithHeavyInterferenceKeepNoServingTaskOverTargetForLongAndStillRun() {
    LoadResult result = runWithHeavyImages();
    SimulatedInterference model = result.model;
    assertTrue(result.usedFraction > 0.6, "fraction of the unused cores: " + result.usedFraction);
    assertTrue(
        model.longestOverTargetMillis < MAX_OVER_TARGET_MILLIS,
        "longest: " + model.longestOverTargetMillis);
    double overTargetFraction = (double) model.overTargetMillis / model.servingMillis;
    assertTrue(
        overTargetFraction < 0.03,
        "fraction of the serving time over target: " + overTargetFraction);
    assertEquals(List.of(), result.simulation.oracle.violations);
  }

  /** The objects of the second run have different identity hashes, as in another JVM. */
  @Test
  void simulationIsDeterministicForASeed() {
    LoadResult first = runWithHeavyImages();
    LoadResult second = runWithHeavyImages();
    List<String> history = first.simulation.history;
    for (int i = 0; i < Math.min(history.size(), second.simulation.history.size()); i++) {
      assertEquals(history.get(i), second.simulation.history.get(i), "line " + i);
    }
    assertEquals(history.size(), second.simulation.history.size());
    assertEquals(first.model.overTargetMillis, second.model.overTargetMillis);
    assertEquals(first.usedFraction, second.usedFraction);
  }
}
