package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Tests that an owner stores which workers get no renewed leases, that a later owner counts their
 * leases from then on, and that nobody renews a lease that a later owner may consider expired.
 */
class RenewalStopTest {
  private static final long SEED = 5;
  private static final long LEASE_MILLIS =
      new PoolTiming(SimulatedWorker.LEASE_MILLIS, SimulatedWorker.LEASE_MILLIS, 300, 2_500)
          .longestLeaseMillis();

  /** Longest lease that the workers at one of the platform's sites grant, in milliseconds. */
  private static final int LONG_LEASE_MILLIS = 10_000;

  private final PoolSimulation simulation = new PoolSimulation(SEED, 4);

  private Job startLongRunningJob() {
    simulation.usePlatformDelays();
    simulation.run(1_000);
    Job job = simulation.submit(List.of(StepBuilder.longRunning(4, 3_000)), 0);
    simulation.run(1_000);
    return job;
  }

  private static TaskId firstTask(Job job) {
    return new TaskId(job.id(), 0, 0, 0);
  }

  private SimulatedWorker workerOf(TaskId task) {
    return simulation.workers.stream().filter(w -> w.up && w.runs(task)).findFirst().orElseThrow();
  }

  private boolean runs(TaskId task) {
    return simulation.workers.stream().anyMatch(w -> w.up && w.runs(task));
  }

  private WorkerRecord record(SimulatedWorker worker) {
    return (WorkerRecord) simulation.store.get("worker/" + worker.id);
  }

  /** Guards against new owners that each waited for the longest possible lease anew. */
  @Test
  void newOwnerCountsLeaseOfCrashedWorkerFromTheStopOfItsRenewal() {
    Job job = startLongRunningJob();
    SimulatedWorker worker = workerOf(firstTask(job));
    worker.crash(simulation.now);
    long crashedMillis = simulation.now;
    simulation.run(2_500);
    assertTrue(record(worker).renewalStop() > 0);
    assertTrue(record(worker).mayRun().contains(firstTask(job).toString()));
    simulation.replaceOwner();
    while (!runs(firstTask(job)) && simulation.now < crashedMillis + 30_000) {
      simulation.run(10);
    }
    assertTrue(simulation.now < crashedMillis + LEASE_MILLIS + 1_500, simulation.now + "");
    assertEquals(List.of(), simulation.oracle.violations);
  }

  /** An entry that has just started cannot know since when the stop is stored. */
  @Test
  void newOwnerWithoutKnowledgeOfTheStopWaitsForTheLongestLease() {
    Job job = startLongRunningJob();
    workerOf(firstTask(job)).disconnected = true;
    simulation.run(2_500);
    simulation.restartSuccessor();
    simulation.replaceOwner();
    simulation.run(LEASE_MILLIS - 3_000);
    assertFalse(simulation.history.stream().anyMatch(l -> l.contains("lease expired")));
    simulation.run(4_000);
    assertTrue(simulation.history.stream().anyMatch(l -> l.contains(" RUN_ORDERED ")));
    assertEquals(List.of(), simulation.oracle.violations);
  }

  @Test
  void leaseIsRenewedOnlyOnceTheEndOfTheStopIsStored() {
    Job job = startLongRunningJob();
    SimulatedWorker worker = workerOf(firstTask(job));
    worker.disconnected = true;
    simulation.run(2_500);
    assertTrue(record(worker).renewalStop() > 0);
    simulation.storeDown = true;
    worker.disconnected = false;
    simulation.run(2_000);
    Worker known =
        simulation.owner.workers().stream()
            .filter(w -> w.id().equals(worker.id))
            .findFirst()
            .orElseThrow();
    assertFalse(known.isUnresponsive());
    assertFalse(known.renewal().isAllowed());
    simulation.storeDown = false;
    simulation.run(1_000);
    assertTrue(known.renewal().isAllowed());
    assertEquals(0, record(worker).renewalStop());
    simulation.run(10_000);
    assertTrue(worker.runs(firstTask(job)));
  }

  /**
   * Regression: a worker crashed with a start in flight, and its polls failed before that start, so
   * that the stored stop did not count the lease that its next incarnation may grant for the start.
   */
  @Test
  void stopOfRenewalsCountsTheLeaseOfAStartThatIsStillInFlight() {
    PoolSimulation longLeases = new PoolSimulation(SEED, 2, LONG_LEASE_MILLIS);
    longLeases.usePlatformDelays();
    longLeases.refusesConnections = true;
    longLeases.delayedOrdersReachOtherIncarnations = true;
    longLeases.delayedOrdersIgnoreDisconnection = true;
    longLeases.run(1_000);
    List<SimulatedWorker> receivers = new ArrayList<>();
    longLeases.outcomes =
        order -> {
          if (!(order instanceof Order.Start) || !receivers.isEmpty()) {
            return PoolSimulation.OrderOutcome.answered();
          }
          longLeases.workers.stream()
              .filter(w -> w.id.equals(order.worker().id()))
              .forEach(receivers::add);
          return PoolSimulation.OrderOutcome.delayed(300);
        };
    Job job = longLeases.submit(List.of(StepBuilder.longRunning(1, 3_000)), 0);
    longLeases.run(50);
    SimulatedWorker worker = receivers.get(0);
    worker.crash(longLeases.now);
    longLeases.run(150);
    worker.disconnected = true;
    longLeases.restartUnseen(worker);
    longLeases.run(350);
    assertTrue(worker.runs(firstTask(job)));
    longLeases.run(400);
    longLeases.replaceOwner();
    longLeases.run(2L * LONG_LEASE_MILLIS);
    assertEquals(List.of(), longLeases.oracle.violations, longLeases::describeViolations);
    assertTrue(longLeases.oracle.isRunning(firstTask(job)));
  }

  /** A stop under the term of an owner before the last one may have been ended unseen. */
  @Test
  void stopOfAnEarlierTermIsIgnored() {
    Job job = startLongRunningJob();
    SimulatedWorker worker = workerOf(firstTask(job));
    worker.crash(simulation.now);
    simulation.run(2_500);
    WorkerRecord record = record(worker);
    assertNotNull(record);
    simulation.store.put(
        "worker/" + worker.id,
        new WorkerRecord(
            record.worker(),
            record.incarnation(),
            record.address(),
            record.notedUpTo(),
            record.renewalStopTerm() - 1,
            record.renewalStop(),
            record.sinceRenewalMillis(),
            record.mayRun(),
            record.restartPending(),
            record.mayStartLate()));
    simulation.replaceOwner();
    simulation.run(LEASE_MILLIS);
    assertFalse(runs(firstTask(job)));
  }

  @Test
  void numbersOfStopsGrowFromTermToTerm() {
    startLongRunningJob();
    simulation.workers.get(0).disconnected = true;
    simulation.run(2_500);
    long first = record(simulation.workers.get(0)).renewalStop();
    simulation.workers.get(0).disconnected = false;
    simulation.run(1_000);
    simulation.replaceOwner();
    simulation.run(4_000);
    simulation.workers.get(1).disconnected = true;
    simulation.run(2_500);
    assertTrue(record(simulation.workers.get(1)).renewalStop() > first);
  }

  @Test
  void timeOfAStopIsTheFirstAtWhichItOrALaterOneWasKnown() {
    RenewalStops stops = new RenewalStops();
    assertEquals(OptionalLong.empty(), stops.knownSinceMillis(1));
    stops.recordStored(0, 50);
    stops.recordStored(3, 100);
    stops.recordStored(3, 200);
    stops.recordStored(2, 300);
    stops.recordStored(7, 400);
    assertEquals(OptionalLong.of(100), stops.knownSinceMillis(2));
    assertEquals(OptionalLong.of(100), stops.knownSinceMillis(3));
    assertEquals(OptionalLong.of(400), stops.knownSinceMillis(4));
    assertEquals(OptionalLong.empty(), stops.knownSinceMillis(8));
  }
}
