package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.StepSpec;

/** Where serving tasks go, so that filling ones find room beside them. */
class FillPlacementTest {
  private static final long SEED = 7;
  private static final int WORKER_CPU = 32_000;
  private static final double SERVING_LOAD = 0.48;

  private static final int TARGET_MILLIS = 150;

  private static StepSpec serving(String image) {
    return new StepSpec(
        1,
        6_400,
        13_000,
        0,
        0,
        List.of(),
        false,
        false,
        false,
        "",
        "",
        0,
        false,
        true,
        image,
        TARGET_MILLIS,
        false,
        0);
  }

  private static PoolWorld world(int workers, SimulatedInterference model) {
    PoolWorld world = new PoolWorld(SEED, workers);
    for (SimulatedWorker worker : world.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.interference = Optional.of(model);
    }
    world.run(500);
    return world;
  }

  /** Issue 20: serving tasks of all images on each worker left fillers that press no place. */
  @Test
  void servingTasksOfOneImageShareWorkersWhileOthersAreFree() {
    List<String> images = List.of("s0", "s1", "s2", "s3");
    PoolWorld world = world(4, new SimulatedInterference(SEED, SERVING_LOAD, 0, 20_000));
    for (int i = 0; i < 16; i++) {
      world.submit(List.of(serving(images.get(i % 4))), 0);
      world.run(100);
    }
    for (SimulatedWorker worker : world.workers) {
      Set<String> served = new HashSet<>();
      worker.shares().forEach(share -> served.add(share.spec().image()));
      assertEquals(1, served.size(), () -> worker.id + " serves " + served);
    }
  }
}
