package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobState;

/** A rejection of one copy of a start says nothing about the earlier copies. */
class StartRejectionTest {
  private static final long SEED = 1;

  /** Time-out of a start in milliseconds, as in the platform's client. */
  private static final long TIMEOUT_MILLIS = 500;

  private static final long DELAY_MILLIS = 2_500;
  private static final long UNHEALTHY_MILLIS = 500;

  /** Checks a task whose first start has the given outcome and whose second start is rejected. */
  private static void assertTaskCompletes(
      Optional<PoolSimulation.OrderOutcome> first,
      BiConsumer<PoolSimulation, SimulatedWorker> rejection) {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.timeoutMillis = TIMEOUT_MILLIS;
    simulation.run(50);
    List<String> ordered = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (!(order instanceof Order.Start start)) {
            return PoolSimulation.OrderOutcome.answered();
          }
          ordered.add(start.worker().id());
          if (ordered.size() == 1) {
            return first;
          }
          if (ordered.size() == 2) {
            simulation.workers.stream()
                .filter(w -> w.id.equals(start.worker().id()))
                .forEach(w -> rejection.accept(simulation, w));
          }
          return PoolSimulation.OrderOutcome.answered();
        };
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 4_000)), 0);
    simulation.run(1_500);
    simulation.workers.forEach(worker -> worker.unaccountedCpuMillis = 0);
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }

  /**
   * Regression: a run whose start was carried out but not answered was released when the unhealthy
   * worker rejected a later copy.
   */
  @Test
  void aRunWhoseAnswerWasLostDoesNotStartElsewhereWhileItsWorkerReportsItselfUnhealthy() {
    assertTaskCompletes(
        PoolSimulation.OrderOutcome.unanswered(),
        (simulation, worker) -> worker.unhealthyUntil = simulation.now + UNHEALTHY_MILLIS);
  }

  /**
   * Regression: a delayed start was carried out by the unhealthy worker after its task had started
   * elsewhere.
   */
  @Test
  void aDelayedStartDoesNotRunBesideAnotherAfterItsWorkerWasUnhealthy() {
    assertTaskCompletes(
        PoolSimulation.OrderOutcome.delayed(DELAY_MILLIS),
        (simulation, worker) -> worker.unhealthyUntil = simulation.now + UNHEALTHY_MILLIS);
  }

  /**
   * Regression: a delayed start was carried out once the worker had capacity, after its task had
   * started elsewhere.
   */
  @Test
  void aDelayedStartDoesNotRunBesideAnotherAfterItsWorkerLackedCapacity() {
    assertTaskCompletes(
        PoolSimulation.OrderOutcome.delayed(DELAY_MILLIS),
        (simulation, worker) -> worker.unaccountedCpuMillis = worker.cpuMillis);
  }

  /** The fix of the above must not delay a task whose every start was answered and rejected. */
  @Test
  void aTaskStartsElsewhereAtOnceWhenEveryOrderWasRejected() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    simulation.workers.get(0).unhealthyUntil = Long.MAX_VALUE;
    Job job = simulation.submit(List.of(StepBuilder.step(4, 2_000, 500)), 0);
    simulation.run(2_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }

  /** Regression: a job counted as begun as soon as the start of a task was decided. */
  @Test
  void aJobWhoseStartsAreAllRejectedCountsAsWaiting() {
    PoolSimulation simulation = new PoolSimulation(1, 2);
    simulation.run(200);
    simulation.workers.forEach(worker -> worker.unhealthyUntil = simulation.now + 6_000);
    Job job = simulation.submit(List.of(StepBuilder.step(2, 2_000, 500)), 0);
    simulation.run(5_000);
    assertEquals(1, simulation.owner.waitingCount("queue0"));
    assertEquals(JobState.QUEUED, JobState.of(job));
    simulation.run(4_000);
    assertEquals(0, simulation.owner.waitingCount("queue0"));
    assertEquals(JobState.COMPLETED, JobState.of(job));
  }
}
