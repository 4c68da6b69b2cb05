package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StepSpec;

/** Verifies on which workers best-effort tasks are placed beside serving tasks. */
class BestEffortPlacementTest {
  private static final long SEED = 7;
  private static final int WORKER_CPU = 32_000;
  private static final double SERVING_UTILIZATION = 0.48;

  /** Hard deadline of the best-effort jobs: three times 2 x 1,000 + 1,000 ms. */
  private static final long HARD_DEADLINE_MILLIS = 9_000;

  /** Target that leaves a serving task a tenth of its utilization; the base latency is 25 ms. */
  private static final int TIGHT_TARGET_MILLIS = 60;

  private static final int LOOSE_TARGET_MILLIS = 150;

  private static StepSpec serving(String image, int targetMillis) {
    return StepBuilder.ofServing(1, 6_400, image, targetMillis).memoryMb(13_000).build();
  }

  private static StepSpec bestEffort(int count, int cpuMillis, String image) {
    return StepBuilder.ofBestEffort(count, cpuMillis, 1_000, image).checkpointing(true).build();
  }

  private static PoolSimulation newSimulation(int workers, SimulatedInterference model) {
    PoolSimulation simulation = new PoolSimulation(SEED, workers);
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.interference = Optional.of(model);
    }
    simulation.run(500);
    return simulation;
  }

  /**
   * Issue 20: the serving task closest to its limit kept best-effort tasks off the worker, although
   * they interfere only with another one.
   */
  @Test
  void bestEffortTasksRunBesideServingTaskNearItsLimitIfTheyDoNotInterfereWithIt() {
    SimulatedInterference model = new SimulatedInterference(SEED, SERVING_UTILIZATION, 0, 20_000);
    model.setCoefficient("best-effort", "loose", 5);
    model.setCoefficient("best-effort", "tight", 0);
    PoolSimulation simulation = newSimulation(1, model);
    simulation.submit(List.of(serving("loose", LOOSE_TARGET_MILLIS)), 0);
    simulation.submit(List.of(serving("tight", TIGHT_TARGET_MILLIS)), 0);
    simulation.run(5_000);
    Job job = simulation.submit(List.of(bestEffort(20, 400, "best-effort")), 2);
    simulation.run(HARD_DEADLINE_MILLIS);
    assertEquals(JobPhase.COMPLETED, job.phase(), "done in core-ms: " + model.bestEffortCoreMillis);
  }

  /**
   * Issue 20: with serving tasks of all images on every worker, best-effort tasks that interfere
   * did not fit on any worker.
   */
  @Test
  void servingTasksOfOneImageShareWorkersWhileOtherWorkersAreFree() {
    List<String> images = List.of("s0", "s1", "s2", "s3");
    PoolSimulation simulation =
        newSimulation(4, new SimulatedInterference(SEED, SERVING_UTILIZATION, 0, 20_000));
    for (int i = 0; i < 16; i++) {
      simulation.submit(List.of(serving(images.get(i % 4), LOOSE_TARGET_MILLIS)), 0);
      simulation.run(100);
    }
    for (SimulatedWorker worker : simulation.workers) {
      Set<String> served = new HashSet<>();
      worker.activeTasks().forEach(share -> served.add(share.spec().image()));
      assertEquals(1, served.size(), () -> worker.id + " serves " + served);
    }
  }

  /**
   * Issue 20: an image that interferes with all serving images except one can run beside that one.
   */
  @Test
  @Tag("known-red")
  void bestEffortTasksThatInterfereWithAllServingImagesButOneRun() {
    SimulatedInterference model = new SimulatedInterference(SEED, SERVING_UTILIZATION, 0.5, 20_000);
    List<String> images = List.of("s0", "s1", "s2", "s3");
    images.forEach(
        image -> model.setCoefficient("best-effort", image, image.equals("s3") ? 0.07 : 5));
    PoolSimulation simulation = newSimulation(4, model);
    for (int i = 0; i < 16; i++) {
      simulation.submit(List.of(serving(images.get(i % 4), LOOSE_TARGET_MILLIS)), 0);
      simulation.run(100);
    }
    simulation.run(5_000);
    Job job = simulation.submit(List.of(bestEffort(24, 3_500, "best-effort")), 2);
    simulation.run(HARD_DEADLINE_MILLIS);
    assertEquals(JobPhase.COMPLETED, job.phase(), "done in core-ms: " + model.bestEffortCoreMillis);
    assertTrue(model.longestOverTargetMillis < 4_000, "longest: " + model.longestOverTargetMillis);
  }

  /**
   * Issue 20: an image that interferes with all serving images can run on workers without serving
   * tasks.
   */
  @Test
  @Tag("known-red")
  void bestEffortTasksThatInterfereWithAllServingImagesRunWhereServingTasksFitOnOneWorker() {
    SimulatedInterference model = new SimulatedInterference(SEED, SERVING_UTILIZATION, 0.5, 20_000);
    List<String> images = List.of("s0", "s1", "s2", "s3");
    images.forEach(image -> model.setCoefficient("best-effort", image, 5));
    PoolSimulation simulation = newSimulation(4, model);
    for (String image : images) {
      simulation.submit(List.of(serving(image, LOOSE_TARGET_MILLIS)), 0);
      simulation.run(100);
    }
    simulation.run(5_000);
    Job job = simulation.submit(List.of(bestEffort(24, 3_500, "best-effort")), 2);
    simulation.run(HARD_DEADLINE_MILLIS);
    assertEquals(JobPhase.COMPLETED, job.phase(), "done in core-ms: " + model.bestEffortCoreMillis);
  }
}
