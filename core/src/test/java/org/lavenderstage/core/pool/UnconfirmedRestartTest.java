package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * A worker restarts and answers no poll with the raised fencing token. A later owner learns that
 * from the worker's record, and does not start elsewhere what an order to the previous incarnation
 * may still start there.
 */
class UnconfirmedRestartTest {
  private static final long SEED = 1;
  private static final long ORDER_DELAY_MILLIS = 9_000;
  private static final long TASK_MILLIS = 200_000;

  /** Longer than any delay of an order, but shorter than the test. */
  private static final long NEVER_MILLIS = 100_000;

  private final PoolSimulation simulation = new PoolSimulation(SEED, 2);
  private Optional<SimulatedWorker> startTarget = Optional.empty();

  @BeforeEach
  void startWorkers() {
    simulation.usePlatformDelays();
    simulation.delayedOrdersIgnoreDisconnection = true;
    simulation.delayedOrdersReachOtherIncarnations = true;
    simulation.run(1_000);
  }

  private Job submitWithDelayedStart() {
    simulation.outcomes =
        order -> {
          if (!(order instanceof Order.Start start)) {
            return PoolSimulation.OrderOutcome.answered();
          }
          boolean first = startTarget.isEmpty();
          startTarget = startTarget.or(() -> Optional.of(workerOf(start)));
          return PoolSimulation.OrderOutcome.delayed(first ? ORDER_DELAY_MILLIS : NEVER_MILLIS);
        };
    Job job = simulation.submit(List.of(StepBuilder.step(1, 1_000, TASK_MILLIS)), 0);
    simulation.run(100);
    assertTrue(startTarget.isPresent());
    return job;
  }

  private SimulatedWorker workerOf(Order order) {
    return simulation.workers.stream()
        .filter(worker -> worker.id.equals(order.worker().id()))
        .findFirst()
        .orElseThrow();
  }

  private SimulatedWorker restartTarget() {
    SimulatedWorker worker = startTarget.orElseThrow();
    worker.crash(simulation.now);
    worker.restart(simulation.now);
    return worker;
  }

  private WorkerRecord record(SimulatedWorker worker) {
    return (WorkerRecord) simulation.store.get("worker/" + worker.id);
  }

  private void assertRunsNowhereElse(SimulatedWorker worker, Job job) {
    simulation.outcomes = order -> Optional.empty();
    simulation.usePlatformDelays();
    simulation.replaceOwnerKnownToHaveEnded();
    simulation.run(ORDER_DELAY_MILLIS);
    assertTrue(worker.runs(new TaskId(job.id(), 0, 0, 0)), "the start was carried out late");
    simulation.run(NEVER_MILLIS / 2);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertEquals(
        1, simulation.workers.stream().mapToInt(other -> other.activeTasks().size()).sum());
  }

  /** Guards against a later owner that cannot see the restart, since the listing is gone. */
  @Test
  void aLaterOwnerKnowsOfARestartOfAWorkerThatIsListedNoMore() {
    Job job = submitWithDelayedStart();
    SimulatedWorker worker = restartTarget();
    simulation.run(300);
    worker.disconnected = true;
    simulation.run(200);
    simulation.unlisted.add(worker);
    simulation.run(300);
    assertTrue(record(worker).restartPending());
    assertEquals(0, record(worker).renewalStop());
    assertRunsNowhereElse(worker, job);
  }

  /**
   * Guards against a record that names the new incarnation as if the previous owner's last token
   * had reached it.
   */
  @Test
  void aLaterOwnerKnowsThatAReportedIncarnationHasNotSeenTheRaisedToken() {
    Job job = submitWithDelayedStart();
    simulation.listingDelayMillis = NEVER_MILLIS;
    SimulatedWorker worker = restartTarget();
    long firstToken = WorkerFence.lowestToken(1);
    simulation.outcomes =
        order ->
            order.worker().id().equals(worker.id) && order.fencingToken() > firstToken
                ? PoolSimulation.OrderOutcome.delayed(NEVER_MILLIS)
                : PoolSimulation.OrderOutcome.answered();
    simulation.run(1_000);
    worker.disconnected = true;
    assertEquals(Long.toString(worker.startMillis), record(worker).incarnation());
    assertTrue(record(worker).restartPending());
    assertEquals(0, record(worker).renewalStop());
    assertRunsNowhereElse(worker, job);
  }

  /** Guards against later owners that wait for a restart which is long confirmed. */
  @Test
  void theRecordOfAWorkerThatAnswersTheRaisedTokenNamesNoRestart() {
    submitWithDelayedStart();
    simulation.outcomes = order -> PoolSimulation.OrderOutcome.answered();
    SimulatedWorker worker = restartTarget();
    simulation.run(2_000);
    assertEquals(Long.toString(worker.startMillis), record(worker).incarnation());
    assertFalse(record(worker).restartPending());
  }
}
