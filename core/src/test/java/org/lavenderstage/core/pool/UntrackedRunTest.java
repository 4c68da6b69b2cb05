package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/** Runs that are stopped without being tracked occupy their workers until they have ended. */
class UntrackedRunTest {
  private static final long SEED = 1;

  /** Time that a stop takes, in milliseconds; shorter than the limit of the platform. */
  private static final long STOP_MILLIS = 150;

  /**
   * Lets a job end whose run goes on on a disconnected worker, and a new owner learn of that run
   * while another job waits for the worker.
   */
  private static PoolSimulation stopRunOfCancelledJob(StepSpec ended, StepSpec waiting) {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    simulation.usePlatformDelays();
    SimulatedWorker worker = simulation.workers.get(0);
    worker.stopMillis = STOP_MILLIS;
    worker.cpuMillis = 1_000;
    simulation.run(1_000);
    Job job = simulation.submit(List.of(ended), 0);
    simulation.run(500);
    assertTrue(simulation.oracle.isRunning(new TaskId(job.id(), 0, 0, 0)));
    worker.disconnected = true;
    simulation.run(300);
    simulation.cancel(job);
    Job next = simulation.submit(List.of(waiting), 0);
    simulation.run(500);
    assertEquals(JobPhase.CANCELLED, job.storedPhase());
    simulation.replaceOwner();
    simulation.run(200);
    worker.disconnected = false;
    simulation.run(5_000);
    assertTrue(simulation.history.stream().anyMatch(line -> line.contains("RUN_STRAY")));
    assertTrue(simulation.oracle.isDone(new TaskId(next.id(), 0, 0, 0)));
    return simulation;
  }

  /** A worker that does not guard its capacity was given a run before the stopped one had ended. */
  @Test
  void noRunStartsInTheCapacityOfARunThatIsBeingStoppedAtANewOwner() {
    PoolSimulation simulation =
        stopRunOfCancelledJob(StepBuilder.longRunning(1, 1_000), StepBuilder.step(1, 1_000, 500));
    assertFalse(
        simulation.history.stream().anyMatch(line -> line.contains("NO_ROOM")),
        () -> String.join("\n", simulation.history));
  }
}
