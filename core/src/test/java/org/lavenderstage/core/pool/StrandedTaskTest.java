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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * A lasting task without a run is running again within the bound of the users' rules, counted from
 * the moment from which it may run safely, where workers that answer have room for it twice over.
 */
class StrandedTaskTest {
  private static final long SEED = 17;
  private static final int SEEDS = 30;
  private static final int CPU = 2_000;
  private static final long STOP_MILLIS = 200;

  /** Longest time without a run that the users' rules allow, in milliseconds. */
  private static final long BOUND_MILLIS = 3_000;

  /** Time from the report that a worker leaves until it does; from the users' bounds. */
  private static final long DRAIN_MILLIS = 3_000;

  /** Time between two workers that are replaced together and the next two. */
  private static final long WAVE_MILLIS = 1_200;

  private static final long NEVER = 100_000;

  /** Longest time after a crash for which a lease may last, in milliseconds. */
  private static final long LEASE_MILLIS =
      new PoolTiming(SimulatedWorker.LEASE_MILLIS, 300, 2_500).longestLeaseMillis();

  private PoolSimulation world;
  private final Set<TaskId> watched = new HashSet<>();
  private final Map<TaskId, SimulatedWorker> places = new HashMap<>();
  private final Map<TaskId, Long> safeFrom = new HashMap<>();
  private final Map<TaskId, Long> waitsSince = new HashMap<>();

  /** Whether what short tasks of less need take counts as room. */
  private boolean shortTasksGiveWay;

  /** Room for a watched task twice over, in thousandths of a core. */
  private int roomWanted = 2 * CPU;

  private long longestWait;
  private String longestWaitOf = "none";

  private void begin(long seed, int workers) {
    world = new PoolSimulation(seed, workers);
    world.workers.forEach(worker -> worker.stopMillis = STOP_MILLIS);
    world.usePlatformDelays();
    watched.clear();
    places.clear();
    safeFrom.clear();
    waitsSince.clear();
    longestWait = 0;
    run(1_000);
  }

  private Job submitLasting(int tasks) {
    return submitLasting(StepBuilder.longRunning(tasks, CPU));
  }

  private Job submitLasting(StepSpec step) {
    Job job = world.submit(List.of(step), 0);
    for (int i = 0; i < step.count(); i++) {
      watched.add(new TaskId(job.id(), 0, 0, i));
    }
    return job;
  }

  private SimulatedWorker join() {
    SimulatedWorker worker = new SimulatedWorker(world.workers.size(), world.now, world.oracle);
    worker.stopMillis = STOP_MILLIS;
    world.workers.add(worker);
    return worker;
  }

  private void run(long millis) {
    for (long until = world.now + millis; world.now < until; ) {
      world.run(10);
      watched.forEach(this::look);
    }
  }

  private void look(TaskId task) {
    Optional<SimulatedWorker> place =
        world.workers.stream().filter(worker -> worker.up && worker.runs(task)).findFirst();
    if (place.isPresent()) {
      places.put(task, place.get());
      safeFrom.remove(task);
      waitsSince.remove(task);
      return;
    }
    SimulatedWorker last = places.get(task);
    boolean crashed = last != null && !last.up;
    long safe = safeFrom.computeIfAbsent(task, t -> world.now + (crashed ? LEASE_MILLIS : 0));
    if (!(world.now >= safe || (last != null && last.up)) || !hasRoomTwiceOver()) {
      waitsSince.remove(task);
      return;
    }
    long wait = world.now - waitsSince.computeIfAbsent(task, t -> world.now);
    if (wait > longestWait) {
      longestWait = wait;
      longestWaitOf = task.toString();
    }
  }

  private boolean hasRoomTwiceOver() {
    return world.workers.stream()
        .filter(worker -> worker.up && !worker.disconnected && !worker.draining)
        .filter(worker -> world.now >= worker.unhealthyUntil)
        .anyMatch(worker -> free(worker) + lessNeeded(worker) >= roomWanted);
  }

  /** Returns the processors of short tasks, where the watched ones have to go before them. */
  private int lessNeeded(SimulatedWorker worker) {
    return shortTasksGiveWay
        ? worker.shares().stream()
            .filter(share -> !share.spec().lasting())
            .mapToInt(share -> share.spec().cpuMillis())
            .sum()
        : 0;
  }

  private static int free(SimulatedWorker worker) {
    int used =
        worker.shares().stream().mapToInt(share -> Worker.demand(share.spec()).cpuMillis()).sum();
    return worker.cpuMillis - worker.unaccountedCpuMillis - used;
  }

  /** Returns the worker that runs most of the watched tasks. */
  private SimulatedWorker busiest() {
    return world.workers.stream()
        .filter(worker -> worker.up && !worker.draining)
        .max((a, b) -> Long.compare(count(a), count(b)))
        .orElseThrow();
  }

  private long count(SimulatedWorker worker) {
    return watched.stream().filter(worker::runs).count();
  }

  private void assertNoneStranded() {
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
    assertFalse(places.isEmpty(), "nothing ran");
    assertTrue(
        longestWait <= BOUND_MILLIS,
        () ->
            longestWaitOf
                + " waited for "
                + longestWait
                + " ms:\n"
                + world.history.stream()
                    .filter(l -> l.contains(longestWaitOf) || !l.contains("task,"))
                    .collect(Collectors.joining("\n")));
  }

  private static Predicate<Order> to(SimulatedWorker worker, Class<? extends Order> kind) {
    return order -> kind.isInstance(order) && order.worker().id().equals(worker.id);
  }

  /** Decides about the first orders that a test names; all others are answered. */
  private void fate(Predicate<Order> which, int count, PoolSimulation.Fate fate) {
    List<Order> met = new ArrayList<>();
    world.fates =
        order -> {
          if (which.test(order) && met.size() < count) {
            met.add(order);
            return Optional.of(fate);
          }
          return PoolSimulation.Fate.prompt();
        };
  }

  /**
   * Holds back the first start and such other orders as a test names; returns the list of the
   * worker that the start is sent to, which is empty until then.
   */
  private List<SimulatedWorker> holdBackFirstStart(Predicate<Order> others) {
    List<SimulatedWorker> chosen = new ArrayList<>();
    world.fates =
        order -> {
          if (order instanceof Order.Start && chosen.isEmpty()) {
            chosen.add(
                world.workers.stream()
                    .filter(w -> w.id.equals(order.worker().id()))
                    .findFirst()
                    .orElseThrow());
            return PoolSimulation.Fate.late(NEVER);
          }
          return others.test(order)
              ? PoolSimulation.Fate.late(NEVER)
              : PoolSimulation.Fate.prompt();
        };
    return chosen;
  }

  /** A stopped task does not wait for the end of its worker. */
  @Test
  void aTaskOfAWorkerThatDrainsGoesOn() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker leaving = busiest();
    leaving.draining = true;
    run(DRAIN_MILLIS);
    leaving.crash(world.now);
    run(12_000);
    assertNoneStranded();
  }

  /** An answer to a stop that is lost does not hold its task back. */
  @Test
  void aTaskWhoseStopsAreCarriedOutWithoutAnswersGoesOn() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker leaving = busiest();
    fate(to(leaving, Order.Stop.class), 1_000, new PoolSimulation.Fate(0, true));
    leaving.draining = true;
    run(12_000);
    assertNoneStranded();
  }

  /** Reports that are lost after a stop do not hold its task back for longer than they take. */
  @Test
  void aTaskGoesOnWhereReportsAfterItsStopAreLost() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker leaving = busiest();
    leaving.draining = true;
    run(500);
    fate(to(leaving, Order.Poll.class), 2, new PoolSimulation.Fate(0, true));
    run(12_000);
    assertNoneStranded();
  }

  /** Answers of all kinds are lost while workers drain. */
  @Test
  void tasksOfAWorkerThatDrainsGoOnThoughAnswersAreLost() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      begin(seed, 6);
      submitLasting(10);
      run(2_000);
      world.lostAnswers = 0.2;
      SimulatedWorker leaving = busiest();
      leaving.draining = true;
      run(DRAIN_MILLIS);
      world.lostAnswers = 0;
      run(3_000);
      assertNoneStranded();
    }
  }

  /** A worker that drains while it rejects starts still says that a stopped run is over. */
  @Test
  void aTaskOfAnUnhealthyWorkerThatDrainsGoesOn() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker leaving = busiest();
    leaving.unhealthyUntil = world.now + NEVER;
    leaving.draining = true;
    run(12_000);
    assertNoneStranded();
  }

  /** A start that was under way when its worker began to drain does not hold its task back. */
  @Test
  void aTaskWhoseStartIsUnansweredWhenItsWorkerDrainsGoesOn() {
    begin(SEED, 6);
    List<SimulatedWorker> chosen = holdBackFirstStart(order -> false);
    submitLasting(4);
    run(100);
    chosen.get(0).draining = true;
    run(12_000);
    assertNoneStranded();
  }

  /** The run of a crashed worker is over with its lease. */
  @Test
  void aTaskOfACrashedWorkerGoesOnOnceItsLeaseIsOver() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    busiest().crash(world.now);
    run(15_000);
    assertNoneStranded();
  }

  /** The run of a worker that is cut off is over with its lease. */
  @Test
  void aTaskOfASilentWorkerGoesOnOnceItsLeaseIsOver() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    busiest().disconnected = true;
    run(15_000);
    assertNoneStranded();
  }

  /** A takeover amid a drain does not hold back what the former owner had stopped. */
  @Test
  void tasksGoOnWhereTheOwnerIsReplacedWhileWorkersDrain() {
    for (int lag = 0; lag < 1_200; lag += 50) {
      begin(SEED, 6);
      submitLasting(10);
      run(2_000);
      SimulatedWorker leaving = busiest();
      leaving.draining = true;
      run(lag + 10);
      world.replaceOwner();
      run(6_000);
      assertNoneStranded();
    }
  }

  /** A slow store delays new workers by two appends, and nothing else. */
  @Test
  void tasksGoOnWhereTheStoreIsSlowWhileAWorkerDrains() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    world.appendMillis = 1_500;
    SimulatedWorker leaving = busiest();
    leaving.draining = true;
    run(12_000);
    assertNoneStranded();
  }

  @Test
  void tasksGoOnOnNewWorkersWhereTheStoreIsSlow() {
    begin(SEED, 3);
    submitLasting(12);
    run(2_000);
    world.appendMillis = 1_000;
    SimulatedWorker leaving = busiest();
    leaving.draining = true;
    run(2_000);
    join();
    join();
    run(12_000);
    assertNoneStranded();
  }

  /** Workers are replaced two at a time, while answers are lost and short work goes on. */
  @Test
  void tasksGoOnWhileWorkersAreReplacedInTurn() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      begin(seed, 12);
      submitLasting(20);
      run(2_000);
      world.lostAnswers = 0.05;
      replaceInTurn(10, 0);
      world.lostAnswers = 0;
      run(3_000);
      assertNoneStranded();
    }
  }

  /** A new owner waits for workers that had left empty before it came. */
  @Test
  void tasksGoOnWhileWorkersAndOwnersAreReplacedInTurn() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      begin(seed, 12);
      submitLasting(20);
      run(2_000);
      replaceInTurn(10, 3);
      run(3_000);
      assertNoneStranded();
    }
  }

  /** A worker whose record was dropped while it drained takes runs again once it drains no more. */
  @Test
  void aWorkerThatNoLongerLeavesTakesRunsAgain() {
    begin(SEED, 2);
    submitLasting(2);
    run(1_000);
    SimulatedWorker first = world.workers.get(0);
    SimulatedWorker second = world.workers.get(1);
    first.draining = true;
    run(3_000);
    assertFalse(world.store.containsKey("worker/" + first.id));
    first.draining = false;
    run(1_000);
    second.draining = true;
    run(3_000);
    assertEquals(2, count(first));
    assertTrue(world.store.containsKey("worker/" + first.id));
    assertNoneStranded();
  }

  /** Many workers that reject starts and have most room are tried over and over. */
  @Test
  void aTaskPassesWorkersThatRejectStarts() {
    begin(SEED, 40);
    submitLasting(20);
    run(2_000);
    SimulatedWorker leaving = busiest();
    world.workers.stream()
        .filter(worker -> worker != leaving)
        .filter(worker -> count(worker) == 0)
        .forEach(worker -> worker.unhealthyUntil = world.now + 10_000);
    leaving.draining = true;
    run(12_000);
    assertNoneStranded();
  }

  /** A start without answers is repeated for good on a worker that goes on to report. */
  @Test
  void aTaskLeavesAWorkerThatCarriesOutNoStarts() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker leaving = busiest();
    List<SimulatedWorker> mute = new ArrayList<>();
    world.fates =
        order -> {
          if (order instanceof Order.Start && world.now > 1_003_000) {
            SimulatedWorker worker =
                world.workers.stream()
                    .filter(w -> w.id.equals(order.worker().id()))
                    .findFirst()
                    .orElseThrow();
            if (mute.isEmpty()) {
              mute.add(worker);
            }
            return mute.contains(worker)
                ? PoolSimulation.Fate.late(NEVER)
                : PoolSimulation.Fate.prompt();
          }
          return PoolSimulation.Fate.prompt();
        };
    leaving.draining = true;
    run(30_000);
    assertFalse(mute.isEmpty());
    assertNoneStranded();
  }

  /** A task whose only run a new owner has stopped waits for a worker that does not report. */
  @Test
  void aTaskThatANewOwnerStoppedGoesOnBesideAWorkerThatIsSilent() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker leaving = busiest();
    SimulatedWorker silent =
        world.workers.stream().filter(worker -> worker != leaving).findFirst().orElseThrow();
    watched.removeIf(silent::runs);
    silent.disconnected = true;
    run(200);
    world.replaceOwner();
    run(4_000);
    assertTrue(count(leaving) > 0);
    leaving.draining = true;
    run(20_000);
    assertNoneStranded();
  }

  /** A start that is left open to a former life waits for an answer to its stop for good. */
  @Test
  @Tag("known-red")
  void aTaskGoesOnWhereItsWorkerRestartedInPlaceAndAnswersNoStops() {
    begin(SEED, 3);
    List<SimulatedWorker> chosen = holdBackFirstStart(Order.Stop.class::isInstance);
    submitLasting(1);
    run(100);
    chosen.get(0).crash(world.now);
    chosen.get(0).restart(world.now);
    run(40_000);
    assertNoneStranded();
  }

  /** Each new owner waits for the leases of a silent worker from its own beginning. */
  @Test
  @Tag("known-red")
  void aTaskGoesOnWhereOwnersAreReplacedWhileItsWorkerIsSilent() {
    begin(SEED, 6);
    submitLasting(10);
    run(2_000);
    SimulatedWorker crashed = busiest();
    crashed.crash(world.now);
    for (int i = 0; i < 3; i++) {
      run(2_000);
      world.replaceOwner();
    }
    run(20_000);
    assertNoneStranded();
  }

  private void replaceInTurn(int waves, int everyOwner) {
    Map<Long, List<SimulatedWorker>> leaves = new HashMap<>();
    for (int i = 0; i < waves + 4; i++) {
      if (i < waves) {
        List<SimulatedWorker> two = new ArrayList<>();
        for (int j = 0; j < 2; j++) {
          SimulatedWorker next =
              world.workers.stream().filter(w -> w.up && !w.draining).findFirst().orElseThrow();
          next.draining = true;
          two.add(next);
          join();
        }
        leaves.put((long) i + 3, two);
      }
      leaves.getOrDefault((long) i, List.of()).forEach(worker -> worker.crash(world.now));
      if (everyOwner > 0 && i % everyOwner == 1) {
        world.replaceOwner();
      }
      run(WAVE_MILLIS);
    }
  }

  /** A task that may be placed nowhere does not stand for others of its shape. */
  @Test
  void aTaskGoesOnBesideOneOfItsShapeThatMayBePlacedNowhere() {
    begin(SEED, 4);
    StepSpec spread = StepBuilder.ofLongRunning(6, CPU).maxPerWorker(1).build();
    world.submit(List.of(spread), 0);
    StepSpec nowhere = StepBuilder.ofLongRunning(2, CPU).requiredLabel("absent").build();
    world.submit(List.of(nowhere), 0);
    submitLasting(4);
    run(2_000);
    busiest().draining = true;
    run(12_000);
    assertNoneStranded();
  }

  /** Fills the pool with short tasks of less need for some time, and lets a worker drain. */
  private void drainUnderLoad(int lastingCpu, int shortCpu, int bursts) {
    begin(SEED, 6);
    submitLasting(StepBuilder.longRunning(5, lastingCpu));
    roomWanted = 2 * lastingCpu;
    run(2_000);
    Random lengths = new Random(SEED);
    for (int i = 0; i < 300; i++) {
      for (int j = 0; j < 4; j++) {
        world.submit(List.of(StepBuilder.step(1, shortCpu, 500 + lengths.nextInt(1_000))), 2);
      }
      if (i < bursts) {
        world.submit(List.of(StepBuilder.step(20, 2 * CPU, 300)), 0);
      }
      run(40);
      if (i == 75) {
        shortTasksGiveWay = true;
        busiest().draining = true;
      }
    }
    assertNoneStranded();
  }

  /** Short tasks of less need take every place that becomes free. */
  @Test
  void tasksGoBeforeThoseOfLessNeed() {
    drainUnderLoad(2 * CPU, 2 * CPU - 100, 0);
  }

  /** Lasting tasks leave the last place to urgent ones that are done, and others take it. */
  @Test
  void tasksGoBeforeThoseOfLessNeedAfterABurstOfUrgentOnes() {
    drainUnderLoad(2 * CPU, 2 * CPU - 100, 2);
  }

  /** Smaller tasks of less need take the room that a lasting one would need, bit by bit. */
  @Test
  void tasksGoBeforeSmallerOnesOfLessNeed() {
    drainUnderLoad(2 * CPU, CPU / 2, 0);
  }
}
