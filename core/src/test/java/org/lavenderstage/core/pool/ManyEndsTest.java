package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;

/** A worker has more ends to report than one report holds. */
class ManyEndsTest {
  private static final long SEED = 1;
  private static final int TASKS = WorkerReport.MAX_ENDED + 100;

  private static Job runAll(PoolWorld world) {
    world.reportsWaitForEnds = true;
    world.run(300);
    world.workers.get(1).unhealthyUntil = Long.MAX_VALUE;
    Job job = world.submit(List.of(StepBuilder.step(TASKS, 100, 500)), 0);
    world.run(30);
    world.storeDown = true;
    world.run(8_000);
    return job;
  }

  /** A new owner took the first report for all of it, and started what had ended further on. */
  @Test
  void aNewOwnerStartsNothingAgainThatHasEndedBehindTheFirstReport() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = runAll(world);
    world.workers.get(1).unhealthyUntil = 0;
    world.storeDown = false;
    world.replaceOwner();
    world.run(5_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
    assertEquals(JobPhase.COMPLETED, world.submitted.get(job.id()).storedPhase());
  }

  /** An owner that stays does not take a run for lost whose end is behind the first report. */
  @Test
  void anOwnerStartsNothingAgainWhoseEndIsBehindTheFirstReport() {
    PoolWorld world = new PoolWorld(SEED, 2);
    Job job = runAll(world);
    assertTrue(world.oracle.endCount() > WorkerReport.MAX_ENDED, "ends " + world.oracle.endCount());
    world.workers.get(1).unhealthyUntil = 0;
    world.storeDown = false;
    world.run(10_000);
    assertEquals(List.of(), world.oracle.broken, world::explanation);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }
}
