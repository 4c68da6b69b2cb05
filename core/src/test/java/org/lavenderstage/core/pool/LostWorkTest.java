package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * No job waits for three seconds with nothing running while there is room for its task twice over
 * and under half of the pool is in use. A lasting task does not wait so long at any load, counted
 * from six seconds after its last run and from four seconds after the last fault.
 */
class LostWorkTest {
  private static final long SEED = 17;

  /** Longest wait with room that the users' rules allow, in milliseconds. */
  private static final long BOUND_MILLIS = 3_000;

  /** Time after the last run of a lasting task that does not count; from the users' rules. */
  private static final long AFTER_RUN_MILLIS = 6_000;

  /** Time after a fault that does not count; from the users' rules. */
  private static final long CALM_MILLIS = 4_000;

  private static final long STOP_MILLIS = 200;
  private static final long NEVER = 100_000;

  private PoolSimulation world;
  private final List<Job> watched = new ArrayList<>();
  private final Map<Object, Long> lastRun = new HashMap<>();
  private final Map<Object, Long> waitsSince = new HashMap<>();
  private long calmFrom;
  private long longestWait;
  private String longestWaitOf = "none";

  /** What is handed in while time goes on. */
  private Runnable load = () -> {};

  /** Processors of a worker that a watched task may have, in thousandths of a core. */
  private ToIntFunction<SimulatedWorker> room = LostWorkTest::free;

  private void begin(int workers, int cpuMillis) {
    world = new PoolSimulation(SEED, workers);
    for (SimulatedWorker worker : world.workers) {
      worker.cpuMillis = cpuMillis;
      worker.stopMillis = STOP_MILLIS;
    }
    world.usePlatformDelays();
    run(1_000);
  }

  private Job watch(StepSpec step, int priority) {
    return watch(List.of(step), priority);
  }

  private Job watch(List<StepSpec> steps, int priority) {
    Job job = world.submit(steps, priority);
    watched.add(job);
    return job;
  }

  /** Hands in a task of less need or a short urgent one again and again. */
  private static Runnable stream(
      PoolSimulation simulation, StepSpec step, int priority, long everyMillis) {
    long[] next = {simulation.now};
    return () -> {
      if (simulation.now >= next[0]) {
        next[0] = simulation.now + everyMillis;
        simulation.submit(List.of(step), priority);
      }
    };
  }

  private void run(long millis) {
    for (long until = world.now + millis; world.now < until; ) {
      load.run();
      world.run(10);
      watched.forEach(this::look);
    }
  }

  private void disturbed() {
    calmFrom = world.now + CALM_MILLIS;
  }

  private void look(Job job) {
    StepSpec spec = job.record().steps().get(0);
    if (spec.lasting()) {
      for (TaskId task : tasks(job)) {
        long counts = lastRun.getOrDefault(task, Long.MIN_VALUE / 2) + AFTER_RUN_MILLIS;
        count(task, isRunning(task), world.now >= Math.max(counts, calmFrom), spec);
      }
    } else {
      Job now = world.submitted.get(job.id());
      boolean served =
          now.phase() != JobPhase.ACTIVE || tasks(job).stream().anyMatch(this::isRunning);
      count(job.id(), served, isHalfFree(), spec);
    }
  }

  private void count(Object waiting, boolean runs, boolean counts, StepSpec spec) {
    if (runs) {
      lastRun.put(waiting, world.now);
    }
    if (runs || !counts || places(spec) < 2) {
      waitsSince.remove(waiting);
      return;
    }
    long wait = world.now - waitsSince.computeIfAbsent(waiting, key -> world.now);
    if (wait > longestWait) {
      longestWait = wait;
      longestWaitOf = waiting.toString();
    }
  }

  private static List<TaskId> tasks(Job job) {
    List<TaskId> tasks = new ArrayList<>();
    for (int step = 0; step < job.record().steps().size(); step++) {
      for (int i = 0; i < job.record().steps().get(step).count(); i++) {
        tasks.add(new TaskId(job.id(), 0, step, i));
      }
    }
    return tasks;
  }

  private boolean isRunning(TaskId task) {
    return world.workers.stream().anyMatch(worker -> worker.up && worker.runs(task));
  }

  private SimulatedWorker placeOf(TaskId task) {
    return world.workers.stream().filter(worker -> worker.runs(task)).findFirst().orElseThrow();
  }

  private int places(StepSpec spec) {
    int demand = Math.max(1, Worker.demand(spec).cpuMillis());
    return world.workers.stream()
        .filter(worker -> worker.up && !worker.disconnected && !worker.draining)
        .filter(worker -> world.now >= worker.unhealthyUntil)
        .mapToInt(worker -> room.applyAsInt(worker) / demand)
        .sum();
  }

  private static int free(SimulatedWorker worker) {
    return worker.cpuMillis - worker.unaccountedCpuMillis - used(worker);
  }

  private static int used(SimulatedWorker worker) {
    return worker.shares().stream()
        .mapToInt(share -> Worker.demand(share.spec()).cpuMillis())
        .sum();
  }

  /** Counts what short tasks take as room, where lasting ones have to go before them. */
  private static int freeOrShort(SimulatedWorker worker) {
    return free(worker)
        + worker.shares().stream()
            .filter(share -> !share.spec().lasting())
            .mapToInt(share -> share.spec().cpuMillis())
            .sum();
  }

  private boolean isHalfFree() {
    List<SimulatedWorker> up = world.workers.stream().filter(worker -> worker.up).toList();
    int capacity = up.stream().mapToInt(worker -> worker.cpuMillis).sum();
    return 2 * up.stream().mapToInt(LostWorkTest::used).sum() < capacity;
  }

  private void assertNothingLost() {
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
    assertFalse(lastRun.isEmpty() && longestWait == 0, "nothing was watched");
    assertTrue(
        longestWait <= BOUND_MILLIS,
        () ->
            longestWaitOf
                + " waited for "
                + longestWait
                + " ms:\n"
                + world.history.stream()
                    .filter(l -> l.contains(longestWaitOf) || l.contains(" WORKER_"))
                    .collect(Collectors.joining("\n")));
  }

  /** A worker that was reborn while an order to forget ends was open takes no runs for 15 s. */
  @Test
  @Tag("known-red")
  void aLastingTaskRunsAgainOnAWorkerThatRestartedInPlaceBehindACut() {
    begin(8, 32_000);
    watch(StepBuilder.longRunning(24, 6_400), 0);
    load = stream(world, StepBuilder.step(1, 2_300, 1_000), 0, 50);
    run(4_000);
    List<SimulatedWorker> cutOff = world.workers.subList(0, 4);
    cutOff.forEach(worker -> worker.disconnected = true);
    run(2_000);
    for (SimulatedWorker worker : cutOff) {
      worker.crash(world.now);
      worker.restart(world.now);
    }
    run(3_500);
    cutOff.forEach(worker -> worker.disconnected = false);
    disturbed();
    run(20_000);
    assertNothingLost();
  }

  /** The new owner waits for the leases of the crashed worker from its own beginning. */
  @Test
  @Tag("known-red")
  void aTaskOfACrashedWorkerRunsAgainThoughTheOwnerIsReplacedOnce() {
    begin(6, 8_000);
    Job job = watch(StepBuilder.longRunning(10, 2_000), 0);
    run(2_000);
    placeOf(tasks(job).get(0)).crash(world.now);
    run(4_000);
    world.replaceOwner();
    disturbed();
    run(20_000);
    assertNothingLost();
  }

  /** Every inherited task waits for a worker that never had a run of its job. */
  @Test
  @Tag("known-red")
  void aJobGoesOnThoughTheOwnerIsReplacedBesideACrashedWorkerThatNeverRanIt() {
    begin(6, 8_000);
    Job lasting = world.submit(List.of(StepBuilder.longRunning(6, 2_000)), 0);
    run(2_000);
    placeOf(tasks(lasting).get(0)).crash(world.now);
    run(1_800);
    watch(List.of(StepBuilder.step(2, 2_000, 300), StepBuilder.step(2, 2_000, 5_000, 0)), 0);
    run(200);
    world.replaceOwner();
    run(20_000);
    assertNothingLost();
  }

  /** Lasting tasks that are handed in while an inherited one waits for a worker take its room. */
  @Test
  @Tag("known-red")
  void anInheritedTaskOfACrashedWorkerRunsAgainBeforeLastingTasksThatNeverRan() {
    begin(6, 8_000);
    Job job = watch(StepBuilder.longRunning(4, 6_000), 0);
    run(2_000);
    TaskId interrupted = tasks(job).get(0);
    placeOf(interrupted).crash(world.now);
    run(2_000);
    world.replaceOwner();
    disturbed();
    run(1_000);
    world.submit(List.of(StepBuilder.longRunning(2, 6_000)), 0);
    run(15_000);
    assertTrue(isRunning(interrupted), () -> String.join("\n", world.history));
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
  }

  /** Keeps the only worker that does not leave for a task that needs more than it has free. */
  private void keepTheWholePoolForAnInterruptedTask() {
    keepTheWholePoolForAnInterruptedTask(1);
  }

  private void keepTheWholePoolForAnInterruptedTask(int workOverEstimate) {
    begin(2, 32_000);
    world.workers.forEach(worker -> worker.workToEstimateRatio = task -> workOverEstimate);
    Job large = world.submit(List.of(StepBuilder.longRunning(1, 20_000)), 0);
    run(200);
    SimulatedWorker first = placeOf(tasks(large).get(0));
    world.submit(List.of(StepBuilder.step(1, 15_000, 60_000 / workOverEstimate)), 2);
    run(200);
    first.draining = true;
    run(1_000);
  }

  /**
   * Room that is kept for an interrupted task is kept from lasting ones for as long as it waits.
   */
  @Test
  void aLastingTaskThatNeverRanRunsBesideRoomKeptForAnInterruptedOne() {
    keepTheWholePoolForAnInterruptedTask();
    watch(StepBuilder.longRunning(1, 2_000), 0);
    run(10_000);
    assertNothingLost();
  }

  /** A run that is over its estimate is expected to end at once, however long it goes on. */
  @Test
  @Tag("known-red")
  void aLastingTaskThatNeverRanRunsBesideRoomKeptUntilARunOverItsEstimateEnds() {
    keepTheWholePoolForAnInterruptedTask(60);
    watch(StepBuilder.longRunning(1, 2_000), 0);
    run(10_000);
    assertNothingLost();
  }

  /** A lasting task that may not have kept room takes it from short ones of its shape as well. */
  @Test
  void aShortTaskRunsBesideALastingOneOfItsShapeThatHasNoPlace() {
    keepTheWholePoolForAnInterruptedTask();
    world.submit(List.of(StepBuilder.longRunning(1, 2_000)), 0);
    watch(StepBuilder.step(1, 2_000, 5_000), 2);
    run(10_000);
    assertNothingLost();
  }

  /** The last place is left to an urgent task that needs more than the place has. */
  @Test
  void aLastingTaskThatNeverRanRunsWhereAnUrgentOneWaitsForAnotherWorker() {
    begin(2, 32_000);
    world.submit(List.of(StepBuilder.step(1, 3_000, 60_000)), 2);
    run(200);
    world.submit(List.of(StepBuilder.longRunning(1, 24_000)), 0);
    run(200);
    world.submit(List.of(StepBuilder.longRunning(1, 21_000)), 0);
    run(200);
    world.submit(List.of(StepBuilder.step(1, 10_000, 500)), 0);
    run(200);
    watch(StepBuilder.longRunning(1, 6_000), 0);
    run(10_000);
    assertNothingLost();
  }

  private static StepSpec lastingGang(int count, int cpuMillis, int maxPerWorker) {
    return StepBuilder.ofLongRunning(count, cpuMillis).gang().maxPerWorker(maxPerWorker).build();
  }

  /** Batch tasks take each piece that gets free, since no room is kept for a gang. */
  @Test
  @Tag("known-red")
  void anInterruptedGangRunsAgainThoughBatchTasksFitIntoEveryPlaceThatGetsFree() {
    begin(4, 32_000);
    room = LostWorkTest::freeOrShort;
    Job gang = watch(lastingGang(2, 8_000, 0), 0);
    run(500);
    load = stream(world, StepBuilder.step(1, 3_500, 1_000), 2, 30);
    run(3_000);
    tasks(gang).forEach(task -> placeOf(task).draining = true);
    run(15_000);
    assertNothingLost();
  }

  /**
   * The other members go on waiting for the one that was rejected, until the platform ends them.
   */
  @Test
  @Tag("known-red")
  void aGangRunsWholeThoughAWorkerRejectedOneOfItsMembers() {
    begin(5, 8_000);
    world.workers.get(0).unaccountedCpuMillis = 6_000;
    watch(lastingGang(4, 4_000, 1), 0);
    run(10_000);
    assertNothingLost();
  }

  /** An image that has pressed once is tried no more, though it leaves the target met. */
  @Test
  @Tag("known-red")
  void aFillingJobRunsWhereServingTasksReserveAFifthOfEachWorker() {
    SimulatedInterference model = new SimulatedInterference(SEED, 0.48, 0, NEVER);
    model.setCoefficient("filling", "serving", 3);
    begin(8, 32_000);
    world.workers.forEach(worker -> worker.interference = Optional.of(model));
    StepSpec serving =
        StepBuilder.ofServing(8, 6_400, "serving", 6 * SimulatedInterference.FLOOR_MILLIS)
            .memoryMb(13_000)
            .maxPerWorker(1)
            .build();
    world.submit(List.of(serving), 0);
    run(5_000);
    StepSpec filling =
        StepBuilder.ofBestEffort(1, 3_500, 1_700, "filling")
            .memoryMb(6_400)
            .checkpointing(true)
            .build();
    for (int i = 0; i < 4; i++) {
      watch(filling, 2);
      run(6_000);
    }
    assertNothingLost();
  }
}
