package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * An interrupted long-running task runs again within the limit that users are guaranteed. The limit
 * counts from the time at which the task may safely start again and a worker that answers has at
 * least twice the free capacity that it needs.
 */
class StrandedTaskTest {
  private static final long SEED = 17;
  private static final int SEEDS = 30;
  private static final int CPU_MILLIS = 2_000;
  private static final long STOP_MILLIS = 200;

  /** Longest time without a run that users are guaranteed, in milliseconds. */
  private static final long MAX_INTERRUPTION_MILLIS = 3_000;

  /** Time from the start of a drain until the worker shuts down, in milliseconds; a user limit. */
  private static final long DRAIN_MILLIS = 3_000;

  /** Time between the replacements of two pairs of workers, in milliseconds. */
  private static final long REPLACEMENT_INTERVAL_MILLIS = 1_200;

  private static final long LONG_DELAY_MILLIS = 100_000;

  /** Longest time for which a lease may last after a crash, in milliseconds. */
  private static final long MAX_LEASE_MILLIS =
      new PoolTiming(SimulatedWorker.LEASE_MILLIS, SimulatedWorker.LEASE_MILLIS, 300, 2_500)
          .longestLeaseMillis();

  private PoolSimulation simulation;
  private final Set<TaskId> watched = new HashSet<>();
  private final Map<TaskId, SimulatedWorker> lastWorkers = new HashMap<>();
  private final Map<TaskId, Long> safeFrom = new HashMap<>();
  private final Map<TaskId, Long> waitsSince = new HashMap<>();

  /** Whether CPU allocated to short tasks of lower priority counts as free. */
  private boolean shortTasksCountAsFree;

  /** Twice the CPU that a watched task needs, in thousandths of a core. */
  private int requiredCpuMillis = 2 * CPU_MILLIS;

  private long longestWaitMillis;
  private String longestWaitingTask = "none";

  private void startSimulation(long seed, int workers) {
    simulation = new PoolSimulation(seed, workers);
    simulation.workers.forEach(worker -> worker.stopMillis = STOP_MILLIS);
    simulation.usePlatformDelays();
    watched.clear();
    lastWorkers.clear();
    safeFrom.clear();
    waitsSince.clear();
    longestWaitMillis = 0;
    run(1_000);
  }

  private Job submitLongRunning(int tasks) {
    return submitLongRunning(StepBuilder.longRunning(tasks, CPU_MILLIS));
  }

  private Job submitLongRunning(StepSpec step) {
    Job job = simulation.submit(List.of(step), 0);
    for (int i = 0; i < step.count(); i++) {
      watched.add(new TaskId(job.id(), 0, 0, i));
    }
    return job;
  }

  private SimulatedWorker join() {
    SimulatedWorker worker =
        new SimulatedWorker(simulation.workers.size(), simulation.now, simulation.oracle);
    worker.stopMillis = STOP_MILLIS;
    simulation.workers.add(worker);
    return worker;
  }

  private void run(long millis) {
    for (long until = simulation.now + millis; simulation.now < until; ) {
      simulation.run(10);
      watched.forEach(this::observe);
    }
  }

  private void observe(TaskId task) {
    Optional<SimulatedWorker> current =
        simulation.workers.stream().filter(worker -> worker.up && worker.runs(task)).findFirst();
    if (current.isPresent()) {
      lastWorkers.put(task, current.get());
      safeFrom.remove(task);
      waitsSince.remove(task);
      return;
    }
    SimulatedWorker last = lastWorkers.get(task);
    boolean crashed = last != null && !last.up;
    long safeFromMillis =
        safeFrom.computeIfAbsent(task, t -> simulation.now + (crashed ? MAX_LEASE_MILLIS : 0));
    if (!(simulation.now >= safeFromMillis || (last != null && last.up))
        || !hasTwiceTheRequiredCapacity()) {
      waitsSince.remove(task);
      return;
    }
    long waitMillis = simulation.now - waitsSince.computeIfAbsent(task, t -> simulation.now);
    if (waitMillis > longestWaitMillis) {
      longestWaitMillis = waitMillis;
      longestWaitingTask = task.toString();
    }
  }

  private boolean hasTwiceTheRequiredCapacity() {
    return simulation.workers.stream()
        .filter(worker -> worker.up && !worker.disconnected && !worker.draining)
        .filter(worker -> simulation.now >= worker.unhealthyUntil)
        .anyMatch(
            worker -> freeCpuMillis(worker) + shortTaskCpuMillis(worker) >= requiredCpuMillis);
  }

  /** Returns the CPU of short tasks where it counts as free, in thousandths of a core; else 0. */
  private int shortTaskCpuMillis(SimulatedWorker worker) {
    return shortTasksCountAsFree
        ? worker.activeTasks().stream()
            .filter(share -> !share.spec().lasting())
            .mapToInt(share -> share.spec().cpuMillis())
            .sum()
        : 0;
  }

  private static int freeCpuMillis(SimulatedWorker worker) {
    int allocatedCpuMillis =
        worker.activeTasks().stream()
            .mapToInt(share -> Worker.demand(share.spec()).cpuMillis())
            .sum();
    return worker.cpuMillis - worker.unaccountedCpuMillis - allocatedCpuMillis;
  }

  /** Returns the worker that runs most of the watched tasks. */
  private SimulatedWorker busiest() {
    return simulation.workers.stream()
        .filter(worker -> worker.up && !worker.draining)
        .max((a, b) -> Long.compare(count(a), count(b)))
        .orElseThrow();
  }

  private long count(SimulatedWorker worker) {
    return watched.stream().filter(worker::runs).count();
  }

  private void assertNoTaskStranded() {
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
    assertFalse(lastWorkers.isEmpty(), "nothing ran");
    assertTrue(
        longestWaitMillis <= MAX_INTERRUPTION_MILLIS,
        () ->
            longestWaitingTask
                + " waited for "
                + longestWaitMillis
                + " ms:\n"
                + simulation.history.stream()
                    .filter(l -> l.contains(longestWaitingTask) || !l.contains("task,"))
                    .collect(Collectors.joining("\n")));
  }

  private static Predicate<Order> sentTo(SimulatedWorker worker, Class<? extends Order> kind) {
    return order -> kind.isInstance(order) && order.worker().id().equals(worker.id);
  }

  /** Sets the outcome of the first selected orders; all others are answered. */
  private void setOutcome(
      Predicate<Order> selected, int count, PoolSimulation.OrderOutcome outcome) {
    List<Order> affected = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (selected.test(order) && affected.size() < count) {
            affected.add(order);
            return Optional.of(outcome);
          }
          return PoolSimulation.OrderOutcome.answered();
        };
  }

  /**
   * Delays the first start and the selected other orders.
   *
   * @return a list that contains the worker of the first start as soon as that is sent
   */
  private List<SimulatedWorker> delayFirstStart(Predicate<Order> others) {
    List<SimulatedWorker> chosen = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Start && chosen.isEmpty()) {
            chosen.add(
                simulation.workers.stream()
                    .filter(w -> w.id.equals(order.worker().id()))
                    .findFirst()
                    .orElseThrow());
            return PoolSimulation.OrderOutcome.delayed(LONG_DELAY_MILLIS);
          }
          return others.test(order)
              ? PoolSimulation.OrderOutcome.delayed(LONG_DELAY_MILLIS)
              : PoolSimulation.OrderOutcome.answered();
        };
    return chosen;
  }

  /** A stopped task does not wait until its worker shuts down. */
  @Test
  void aTaskOfADrainingWorkerRunsElsewhere() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    drainingWorker.draining = true;
    run(DRAIN_MILLIS);
    drainingWorker.crash(simulation.now);
    run(12_000);
    assertNoTaskStranded();
  }

  /** A lost answer to a stop does not delay the task. */
  @Test
  void aTaskRunsElsewhereWhenAnswersToItsStopsAreLost() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    setOutcome(
        sentTo(drainingWorker, Order.Stop.class), 1_000, new PoolSimulation.OrderOutcome(0, true));
    drainingWorker.draining = true;
    run(12_000);
    assertNoTaskStranded();
  }

  /** Lost reports after a stop delay the task only for the time that the reports take. */
  @Test
  void aTaskRunsElsewhereWhenReportsAfterItsStopAreLost() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    drainingWorker.draining = true;
    run(500);
    setOutcome(
        sentTo(drainingWorker, Order.Poll.class), 2, new PoolSimulation.OrderOutcome(0, true));
    run(12_000);
    assertNoTaskStranded();
  }

  /** Answers of all kinds are lost while workers drain. */
  @Test
  void tasksOfADrainingWorkerRunElsewhereThoughAnswersAreLost() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startSimulation(seed, 6);
      submitLongRunning(10);
      run(2_000);
      simulation.lostAnswerRate = 0.2;
      SimulatedWorker drainingWorker = busiest();
      drainingWorker.draining = true;
      run(DRAIN_MILLIS);
      simulation.lostAnswerRate = 0;
      run(3_000);
      assertNoTaskStranded();
    }
  }

  /** A draining worker that rejects starts still reports that a stopped run has ended. */
  @Test
  void aTaskOfAnUnhealthyDrainingWorkerRunsElsewhere() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    drainingWorker.unhealthyUntil = simulation.now + LONG_DELAY_MILLIS;
    drainingWorker.draining = true;
    run(12_000);
    assertNoTaskStranded();
  }

  /** A start in flight when its worker starts to drain does not delay the task. */
  @Test
  void aTaskWhoseStartIsUnansweredRunsElsewhereWhenItsWorkerDrains() {
    startSimulation(SEED, 6);
    List<SimulatedWorker> chosen = delayFirstStart(order -> false);
    submitLongRunning(4);
    run(100);
    chosen.get(0).draining = true;
    run(12_000);
    assertNoTaskStranded();
  }

  /** A run on a crashed worker has ended once its lease expires. */
  @Test
  void aTaskOfACrashedWorkerRunsElsewhereOnceItsLeaseExpires() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    busiest().crash(simulation.now);
    run(15_000);
    assertNoTaskStranded();
  }

  /** A run on a disconnected worker has ended once its lease expires. */
  @Test
  void aTaskOfAnUnresponsiveWorkerRunsElsewhereOnceItsLeaseExpires() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    busiest().disconnected = true;
    run(15_000);
    assertNoTaskStranded();
  }

  /** A failover during a drain does not delay the tasks that the previous owner stopped. */
  @Test
  void tasksRunElsewhereWhenTheOwnerIsReplacedWhileWorkersDrain() {
    for (int delayMillis = 0; delayMillis < 1_200; delayMillis += 50) {
      startSimulation(SEED, 6);
      submitLongRunning(10);
      run(2_000);
      SimulatedWorker drainingWorker = busiest();
      drainingWorker.draining = true;
      run(delayMillis + 10);
      simulation.replaceOwner();
      run(6_000);
      assertNoTaskStranded();
    }
  }

  /** A slow store delays only new workers, by two appends. */
  @Test
  void tasksRunElsewhereWhenTheStoreIsSlowWhileAWorkerDrains() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    simulation.appendMillis = 1_500;
    SimulatedWorker drainingWorker = busiest();
    drainingWorker.draining = true;
    run(12_000);
    assertNoTaskStranded();
  }

  @Test
  void tasksRunOnNewWorkersWhenTheStoreIsSlow() {
    startSimulation(SEED, 3);
    submitLongRunning(12);
    run(2_000);
    simulation.appendMillis = 1_000;
    SimulatedWorker drainingWorker = busiest();
    drainingWorker.draining = true;
    run(2_000);
    join();
    join();
    run(12_000);
    assertNoTaskStranded();
  }

  /** Workers are replaced two at a time, while answers are lost and short work continues. */
  @Test
  void tasksRunElsewhereWhileWorkersAreReplacedInTurn() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startSimulation(seed, 12);
      submitLongRunning(20);
      run(2_000);
      simulation.lostAnswerRate = 0.05;
      replaceInTurn(10, 0);
      simulation.lostAnswerRate = 0;
      run(3_000);
      assertNoTaskStranded();
    }
  }

  /** Regression: a new owner waited for workers that had drained before it took over. */
  @Test
  void tasksRunElsewhereWhileWorkersAndOwnersAreReplacedInTurn() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      startSimulation(seed, 12);
      submitLongRunning(20);
      run(2_000);
      replaceInTurn(10, 3);
      run(3_000);
      assertNoTaskStranded();
    }
  }

  /**
   * A worker whose record was removed during a drain takes runs again once the drain is cancelled.
   */
  @Test
  void aWorkerThatNoLongerDrainsTakesRunsAgain() {
    startSimulation(SEED, 2);
    submitLongRunning(2);
    run(1_000);
    SimulatedWorker first = simulation.workers.get(0);
    SimulatedWorker second = simulation.workers.get(1);
    first.draining = true;
    run(3_000);
    assertFalse(simulation.store.containsKey("worker/" + first.id));
    first.draining = false;
    run(1_000);
    second.draining = true;
    run(3_000);
    assertEquals(2, count(first));
    assertTrue(simulation.store.containsKey("worker/" + first.id));
    assertNoTaskStranded();
  }

  /** Regression: many workers with the most free capacity that rejected starts were tried again. */
  @Test
  void aTaskAvoidsWorkersThatRejectStarts() {
    startSimulation(SEED, 40);
    submitLongRunning(20);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    simulation.workers.stream()
        .filter(worker -> worker != drainingWorker)
        .filter(worker -> count(worker) == 0)
        .forEach(worker -> worker.unhealthyUntil = simulation.now + 10_000);
    drainingWorker.draining = true;
    run(12_000);
    assertNoTaskStranded();
  }

  /** Regression: an unanswered start was repeated forever on a worker that kept sending reports. */
  @Test
  void aTaskRunsElsewhereWhenAWorkerIgnoresStarts() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    List<SimulatedWorker> ignoringStarts = new ArrayList<>();
    simulation.outcomes =
        order -> {
          if (order instanceof Order.Start && simulation.now > 1_003_000) {
            SimulatedWorker worker =
                simulation.workers.stream()
                    .filter(w -> w.id.equals(order.worker().id()))
                    .findFirst()
                    .orElseThrow();
            if (ignoringStarts.isEmpty()) {
              ignoringStarts.add(worker);
            }
            return ignoringStarts.contains(worker)
                ? PoolSimulation.OrderOutcome.delayed(LONG_DELAY_MILLIS)
                : PoolSimulation.OrderOutcome.answered();
          }
          return PoolSimulation.OrderOutcome.answered();
        };
    drainingWorker.draining = true;
    run(30_000);
    assertFalse(ignoringStarts.isEmpty());
    assertNoTaskStranded();
  }

  /**
   * Regression: a task whose only run a new owner had stopped waited for an unresponsive worker.
   */
  @Test
  void aTaskThatANewOwnerStoppedRunsAgainThoughAWorkerIsUnresponsive() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker drainingWorker = busiest();
    SimulatedWorker unresponsive =
        simulation.workers.stream()
            .filter(worker -> worker != drainingWorker)
            .findFirst()
            .orElseThrow();
    watched.removeIf(unresponsive::runs);
    unresponsive.disconnected = true;
    run(200);
    simulation.replaceOwner();
    run(4_000);
    assertTrue(count(drainingWorker) > 0);
    drainingWorker.draining = true;
    run(20_000);
    assertNoTaskStranded();
  }

  /**
   * Regression: an unanswered start to a previous incarnation waited for the answer to its stop.
   */
  @Test
  void aTaskGoesOnWhereItsWorkerRestartedInPlaceAndAnswersNoStops() {
    startSimulation(SEED, 3);
    List<SimulatedWorker> chosen = delayFirstStart(Order.Stop.class::isInstance);
    submitLongRunning(1);
    run(100);
    chosen.get(0).crash(simulation.now);
    chosen.get(0).restart(simulation.now);
    run(40_000);
    assertNoTaskStranded();
  }

  /** Regression: each new owner waited a full lease for an unresponsive worker anew. */
  @Test
  void aTaskGoesOnWhereOwnersAreReplacedWhileItsWorkerIsSilent() {
    startSimulation(SEED, 6);
    submitLongRunning(10);
    run(2_000);
    SimulatedWorker crashed = busiest();
    crashed.crash(simulation.now);
    for (int i = 0; i < 3; i++) {
      run(2_000);
      simulation.replaceOwner();
    }
    run(20_000);
    assertNoTaskStranded();
  }

  private void replaceInTurn(int waves, int ownerReplacementInterval) {
    Map<Long, List<SimulatedWorker>> drainingByWave = new HashMap<>();
    for (int i = 0; i < waves + 4; i++) {
      if (i < waves) {
        List<SimulatedWorker> replaced = new ArrayList<>();
        for (int j = 0; j < 2; j++) {
          SimulatedWorker next =
              simulation.workers.stream()
                  .filter(w -> w.up && !w.draining)
                  .findFirst()
                  .orElseThrow();
          next.draining = true;
          replaced.add(next);
          join();
        }
        drainingByWave.put((long) i + 3, replaced);
      }
      drainingByWave
          .getOrDefault((long) i, List.of())
          .forEach(worker -> worker.crash(simulation.now));
      if (ownerReplacementInterval > 0 && i % ownerReplacementInterval == 1) {
        simulation.replaceOwner();
      }
      run(REPLACEMENT_INTERVAL_MILLIS);
    }
  }

  /** A task that no worker may run does not represent others with the same requirements. */
  @Test
  void aTaskIsPlacedBesideASimilarOneThatNoWorkerMayRun() {
    startSimulation(SEED, 4);
    StepSpec spread = StepBuilder.ofLongRunning(6, CPU_MILLIS).maxPerWorker(1).build();
    simulation.submit(List.of(spread), 0);
    StepSpec unplaceable = StepBuilder.ofLongRunning(2, CPU_MILLIS).requiredLabel("absent").build();
    simulation.submit(List.of(unplaceable), 0);
    submitLongRunning(4);
    run(2_000);
    busiest().draining = true;
    run(12_000);
    assertNoTaskStranded();
  }

  /** Fills the pool with short tasks of lower priority for some time, and drains a worker. */
  private void drainUnderLoad(int longRunningCpuMillis, int shortCpuMillis, int bursts) {
    startSimulation(SEED, 6);
    submitLongRunning(StepBuilder.longRunning(5, longRunningCpuMillis));
    requiredCpuMillis = 2 * longRunningCpuMillis;
    run(2_000);
    Random durations = new Random(SEED);
    for (int i = 0; i < 300; i++) {
      for (int j = 0; j < 4; j++) {
        simulation.submit(
            List.of(StepBuilder.step(1, shortCpuMillis, 500 + durations.nextInt(1_000))), 2);
      }
      if (i < bursts) {
        simulation.submit(List.of(StepBuilder.step(20, 2 * CPU_MILLIS, 300)), 0);
      }
      run(40);
      if (i == 75) {
        shortTasksCountAsFree = true;
        busiest().draining = true;
      }
    }
    assertNoTaskStranded();
  }

  /** Regression: short tasks of lower priority took all capacity that became free. */
  @Test
  void tasksPrecedeThoseOfLowerPriority() {
    drainUnderLoad(2 * CPU_MILLIS, 2 * CPU_MILLIS - 100, 0);
  }

  /**
   * Regression: long-running tasks left the last capacity to urgent ones that were already done,
   * and other tasks took it.
   */
  @Test
  void tasksPrecedeThoseOfLowerPriorityAfterABurstOfUrgentOnes() {
    drainUnderLoad(2 * CPU_MILLIS, 2 * CPU_MILLIS - 100, 2);
  }

  /**
   * Regression: smaller tasks of lower priority took the capacity that a long-running one needed,
   * bit by bit.
   */
  @Test
  void tasksPrecedeSmallerOnesOfLowerPriority() {
    drainUnderLoad(2 * CPU_MILLIS, CPU_MILLIS / 2, 0);
  }
}
