package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;

/** A worker that refuses one copy of a start says nothing about the copies before it. */
class PoolRefusalTest {
  private static final long SEED = 1;

  /** Longest wait for the answer to a start, in milliseconds; as the platform's client waits. */
  private static final long TIMEOUT_MILLIS = 500;

  private static final long LATE_MILLIS = 2_500;
  private static final long UNHEALTHY_MILLIS = 500;

  /** Plays one task of which the first order gets no answer, and the second is refused. */
  private static void play(
      Optional<PoolSimulation.Fate> first, BiConsumer<PoolSimulation, SimulatedWorker> refusal) {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.longPolling = true;
    simulation.timeoutMillis = TIMEOUT_MILLIS;
    simulation.run(50);
    List<String> ordered = new ArrayList<>();
    simulation.fates =
        order -> {
          if (!(order instanceof Order.Start start)) {
            return PoolSimulation.Fate.prompt();
          }
          ordered.add(start.worker().id());
          if (ordered.size() == 1) {
            return first;
          }
          if (ordered.size() == 2) {
            simulation.workers.stream()
                .filter(w -> w.id.equals(start.worker().id()))
                .forEach(w -> refusal.accept(simulation, w));
          }
          return PoolSimulation.Fate.prompt();
        };
    Job job = simulation.submit(List.of(StepBuilder.step(1, 2_000, 4_000)), 0);
    simulation.run(1_500);
    simulation.workers.forEach(worker -> worker.unaccountedCpuMillis = 0);
    simulation.run(12_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }

  /** A start that ran without an answer was released when a later copy met an unhealthy worker. */
  @Test
  void aRunWhoseAnswerWasLostDoesNotStartElsewhereWhileItsWorkerCallsItselfUnhealthy() {
    play(
        PoolSimulation.Fate.unanswered(),
        (simulation, worker) -> worker.unhealthyUntil = simulation.now + UNHEALTHY_MILLIS);
  }

  /**
   * A start that was held back began on the unhealthy worker after its task had begun elsewhere.
   */
  @Test
  void aStartThatIsCarriedOutLateDoesNotRunBesideAnotherAfterItsWorkerWasUnhealthy() {
    play(
        PoolSimulation.Fate.late(LATE_MILLIS),
        (simulation, worker) -> worker.unhealthyUntil = simulation.now + UNHEALTHY_MILLIS);
  }

  /** A start that was held back began once there was room, after its task had begun elsewhere. */
  @Test
  void aStartThatIsCarriedOutLateDoesNotRunBesideAnotherAfterItsWorkerHadNoRoom() {
    play(
        PoolSimulation.Fate.late(LATE_MILLIS),
        (simulation, worker) -> worker.unaccountedCpuMillis = worker.cpuMillis);
  }

  /** Guards against the repair of the above starving a task: an answered refusal is final. */
  @Test
  void aTaskStartsElsewhereAtOnceWhereEveryOrderWasRefused() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(200);
    simulation.workers.get(0).unhealthyUntil = Long.MAX_VALUE;
    Job job = simulation.submit(List.of(StepBuilder.step(4, 2_000, 500)), 0);
    simulation.run(2_000);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(JobPhase.COMPLETED, job.storedPhase());
  }
}
