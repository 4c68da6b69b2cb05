package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StepSpec;

/** Urgent tasks preempt short runs with checkpoints, and no long-running ones. */
class PreemptionTest {
  private static final long SEED = 1;
  private static final int CPU_MILLIS = 2_000;
  private static final int TASKS = 8;

  private final PoolSimulation simulation = new PoolSimulation(SEED, 2);

  /** Fills both workers with the tasks of one step, and submits an urgent task. */
  private Job submitUrgentBeside(StepSpec step) {
    simulation.workers.forEach(worker -> worker.stopMillis = 200);
    simulation.run(200);
    simulation.submit(List.of(step), 2);
    simulation.run(3_000);
    assertEquals(TASKS, activeCount());
    return simulation.submit(List.of(StepBuilder.step(1, 2 * CPU_MILLIS, 1_000)), 0);
  }

  private int activeCount() {
    return simulation.workers.stream().mapToInt(worker -> worker.activeTasks().size()).sum();
  }

  /**
   * Regression: two tasks of a step that may miss one were stopped for one urgent task. It did not
   * run all the same, since interrupted long-running tasks are placed first.
   */
  @Test
  void noLongRunningTaskIsPreempted() {
    submitUrgentBeside(StepBuilder.ofLongRunning(TASKS, CPU_MILLIS).checkpointing(true).build());
    for (int i = 0; i < 500; i++) {
      simulation.run(10);
      assertEquals(TASKS, activeCount(), () -> String.join("\n", simulation.history));
    }
  }

  @Test
  void shortTasksWithCheckpointsArePreempted() {
    Job urgent =
        submitUrgentBeside(StepBuilder.of(TASKS, CPU_MILLIS, 60_000).checkpointing(true).build());
    simulation.run(3_000);
    assertEquals(JobPhase.COMPLETED, urgent.phase(), () -> String.join("\n", simulation.history));
    assertTrue(activeCount() >= TASKS - 2);
  }
}
