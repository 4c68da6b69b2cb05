package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.TaskId;

class OrderBurstTest {
  private static final long SEED = 11;
  private static final int WORKERS = 33;
  private static final int WORKER_CPU = 32_000;
  private static final int JOBS = 40;
  private static final int TASKS = 10;

  /** Capacity of a worker on which the long-running task does not fit. */
  private static final int SMALL_CPU = 8_000;

  /** Number of short tasks that wait; their starts take many steps. */
  private static final int BACKLOG = 1_200;

  /** Maximum number of starts that one step of the owner may send. */
  private static final int MAX_STARTS = 64;

  /** Maximum number of orders that one step of the owner may send, polls included. */
  private static final int MAX_ORDERS = MAX_STARTS + WORKERS;

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

  /**
   * Load pattern: a backlog of short tasks is placed on all workers at once, as after an outage,
   * while a worker drains. The starts were sent by worker, so that the one of the interrupted
   * long-running task came last.
   */
  @Test
  void interruptedLongRunningTaskIsStartedBeforeTheBacklog() {
    PoolSimulation simulation = new PoolSimulation(SEED, WORKERS);
    SimulatedWorker drained = simulation.workers.get(0);
    SimulatedWorker free = simulation.workers.get(WORKERS - 1);
    simulation.workers.forEach(worker -> worker.cpuMillis = SMALL_CPU);
    drained.cpuMillis = WORKER_CPU;
    simulation.run(1_000);
    Job lasting = simulation.submit(List.of(StepBuilder.longRunning(1, 2 * SMALL_CPU)), 0);
    simulation.run(500);
    TaskId task = new TaskId(lasting.id(), 0, 0, 0);
    assertTrue(drained.runs(task));
    free.cpuMillis = WORKER_CPU;
    simulation.run(50);
    List<TaskId> starts = new ArrayList<>();
    List<TaskId> startsAfterPlacement = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Start start) {
            TaskId started = start.run().task().id();
            starts.add(started);
            if (isPlacedAgain(simulation, task)) {
              startsAfterPlacement.add(started);
            }
          }
          return PoolSimulation.OrderOutcome.answered();
        };
    drained.draining = true;
    simulation.submit(List.of(StepBuilder.step(BACKLOG, SMALL_CPU / 40, 60_000)), 0);
    simulation.run(2_000);
    int place = startsAfterPlacement.indexOf(task);
    assertTrue(starts.size() - startsAfterPlacement.size() > MAX_STARTS, "no backlog");
    // The step that places the task may have sent its starts before; the next one sends it first.
    assertTrue(place >= 0 && place <= MAX_STARTS, "start number " + place + " after its placement");
  }

  private static boolean isPlacedAgain(PoolSimulation simulation, TaskId task) {
    return simulation.history.stream()
            .filter(line -> line.contains(" RUN_ORDERED ") && line.contains(task.toString()))
            .count()
        > 1;
  }
}
