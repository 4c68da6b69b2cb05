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

/** Where filling tasks find room beside serving ones, whose load is that of the moment. */
class FillPlacementTest {
  private static final long SEED = 7;
  private static final int WORKER_CPU = 32_000;
  private static final double SERVING_LOAD = 0.48;

  /** Time within which the filling jobs earn anything: three times 2 x 1,000 + 1,000 ms. */
  private static final long EARNING_MILLIS = 9_000;

  /** Target that leaves a serving task a tenth of its utilization; a tail without load is 25 ms. */
  private static final int TIGHT_TARGET_MILLIS = 60;

  private static final int ROOMY_TARGET_MILLIS = 150;

  private static StepSpec serving(String image, int targetMillis) {
    return StepBuilder.ofServing(1, 6_400, image, targetMillis).memoryMb(13_000).build();
  }

  private static StepSpec filling(int count, int cpuMillis, String image) {
    return StepBuilder.ofBestEffort(count, cpuMillis, 1_000, image).checkpointing(true).build();
  }

  private static PoolSimulation world(int workers, SimulatedInterference model) {
    PoolSimulation simulation = new PoolSimulation(SEED, workers);
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.interference = Optional.of(model);
    }
    simulation.run(500);
    return simulation;
  }

  /** Issue 20: the tightest serving task withheld the room of the one that a filler presses on. */
  @Test
  void fillersRunBesideATightServingTaskThatTheyDoNotPressOn() {
    SimulatedInterference model = new SimulatedInterference(SEED, SERVING_LOAD, 0, 20_000);
    model.setCoefficient("filler", "roomy", 5);
    model.setCoefficient("filler", "tight", 0);
    PoolSimulation simulation = world(1, model);
    simulation.submit(List.of(serving("roomy", ROOMY_TARGET_MILLIS)), 0);
    simulation.submit(List.of(serving("tight", TIGHT_TARGET_MILLIS)), 0);
    simulation.run(5_000);
    Job job = simulation.submit(List.of(filling(20, 400, "filler")), 2);
    simulation.run(EARNING_MILLIS);
    assertEquals(JobPhase.COMPLETED, job.phase(), "done in core-ms: " + model.fillingCoreMillis);
  }

  /** Issue 20: serving tasks of all images on each worker left fillers that press no place. */
  @Test
  void servingTasksOfOneImageShareWorkersWhileOthersAreFree() {
    List<String> images = List.of("s0", "s1", "s2", "s3");
    PoolSimulation simulation = world(4, new SimulatedInterference(SEED, SERVING_LOAD, 0, 20_000));
    for (int i = 0; i < 16; i++) {
      simulation.submit(List.of(serving(images.get(i % 4), ROOMY_TARGET_MILLIS)), 0);
      simulation.run(100);
    }
    for (SimulatedWorker worker : simulation.workers) {
      Set<String> served = new HashSet<>();
      worker.shares().forEach(share -> served.add(share.spec().image()));
      assertEquals(1, served.size(), () -> worker.id + " serves " + served);
    }
  }

  /** Issue 20: an image that presses on all serving images but one has a place beside that one. */
  @Test
  @Tag("known-red")
  void fillersThatPressOnAllServingImagesButOneRun() {
    SimulatedInterference model = new SimulatedInterference(SEED, SERVING_LOAD, 0.5, 20_000);
    List<String> images = List.of("s0", "s1", "s2", "s3");
    images.forEach(image -> model.setCoefficient("filler", image, image.equals("s3") ? 0.07 : 5));
    PoolSimulation simulation = world(4, model);
    for (int i = 0; i < 16; i++) {
      simulation.submit(List.of(serving(images.get(i % 4), ROOMY_TARGET_MILLIS)), 0);
      simulation.run(100);
    }
    simulation.run(5_000);
    Job job = simulation.submit(List.of(filling(24, 3_500, "filler")), 2);
    simulation.run(EARNING_MILLIS);
    assertEquals(JobPhase.COMPLETED, job.phase(), "done in core-ms: " + model.fillingCoreMillis);
    assertTrue(model.longestOverMillis < 4_000, "longest: " + model.longestOverMillis);
  }

  /** Issue 20: an image that presses on all serving images has a place where none serves. */
  @Test
  @Tag("known-red")
  void fillersThatPressOnAllServingImagesRunWhereServingTasksFitOnOneWorker() {
    SimulatedInterference model = new SimulatedInterference(SEED, SERVING_LOAD, 0.5, 20_000);
    List<String> images = List.of("s0", "s1", "s2", "s3");
    images.forEach(image -> model.setCoefficient("filler", image, 5));
    PoolSimulation simulation = world(4, model);
    for (String image : images) {
      simulation.submit(List.of(serving(image, ROOMY_TARGET_MILLIS)), 0);
      simulation.run(100);
    }
    simulation.run(5_000);
    Job job = simulation.submit(List.of(filling(24, 3_500, "filler")), 2);
    simulation.run(EARNING_MILLIS);
    assertEquals(JobPhase.COMPLETED, job.phase(), "done in core-ms: " + model.fillingCoreMillis);
  }
}
