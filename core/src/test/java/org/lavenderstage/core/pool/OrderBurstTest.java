package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.JobPhase;

class OrderBurstTest {
  private static final long SEED = 11;
  private static final int WORKERS = 33;
  private static final int WORKER_CPU = 32_000;
  private static final int JOBS = 40;
  private static final int TASKS = 10;

  /** Maximum number of orders that one step of the owner may send, polls included. */
  private static final int MAX_ORDERS = 64 + WORKERS;

  /**
   * A new owner sent all starts of a backlog in one step, and neither polls nor answers went out
   * until the network threads had sent them.
   */
  @Test
  void startsOfBacklogAreSentInSeveralSteps() {
    PoolSimulation simulation = new PoolSimulation(SEED, WORKERS);
    simulation.workers.forEach(worker -> worker.cpuMillis = WORKER_CPU);
    simulation.run(1_000);
    for (int i = 0; i < JOBS; i++) {
      simulation.submit(List.of(StepBuilder.step(TASKS, 2_300, 800)), 0);
    }
    simulation.run(2_500);
    assertTrue(simulation.maxOrdersPerStep <= MAX_ORDERS, "orders: " + simulation.maxOrdersPerStep);
    long completed =
        simulation.submitted.values().stream()
            .filter(job -> job.phase() == JobPhase.COMPLETED)
            .count();
    assertEquals(JOBS, completed);
    assertEquals(List.of(), simulation.oracle.violations);
  }
}
