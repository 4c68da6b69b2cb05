package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * Verifies that the members of a gang start together or not at all, and that they get capacity
 * beside other tasks. Workers have 8 cores.
 */
class GangPlacementTest {
  private static final long SEED = 1;

  private final PoolSimulation simulation = new PoolSimulation(SEED, 2);

  private static StepSpec gangOfTwo(int cpuMillis, int maxPerWorker) {
    return StepBuilder.of(2, cpuMillis, 500).gang().maxPerWorker(maxPerWorker).build();
  }

  private List<String> orderedRuns(Job job) {
    return orderedRuns(simulation, job);
  }

  private static List<String> orderedRuns(PoolSimulation simulation, Job job) {
    return simulation.history.stream()
        .filter(line -> line.contains("RUN_ORDERED") && line.contains(job.id()))
        .toList();
  }

  private Job submitWhileOneWorkerIsFull(StepSpec gang, long occupiedMillis) {
    simulation.run(200);
    simulation.submit(List.of(StepBuilder.step(1, 8_000, occupiedMillis)), 0);
    simulation.run(200);
    Job job = simulation.submit(List.of(gang), 0);
    simulation.run(2_000);
    return job;
  }

  /** A gang of which only the first member had a worker was reported as running. */
  @ParameterizedTest
  @CsvSource({"8000, 0", "4000, 1"})
  void waitingGangHasNotBegun(int cpuMillis, int maxPerWorker) {
    Job job = submitWhileOneWorkerIsFull(gangOfTwo(cpuMillis, maxPerWorker), 10_000);
    assertEquals(List.of(), orderedRuns(job));
    assertFalse(job.hasBegun());
  }

  /** Each scheduling round without capacity for the whole gang used an attempt. */
  @ParameterizedTest
  @CsvSource({"8000, 0", "4000, 1"})
  void waitingGangStartsAllMembersWithFirstAttempt(int cpuMillis, int maxPerWorker) {
    Job job = submitWhileOneWorkerIsFull(gangOfTwo(cpuMillis, maxPerWorker), 3_000);
    simulation.run(4_000);
    List<String> ordered = orderedRuns(job);
    assertEquals(2, ordered.size(), ordered::toString);
    assertTrue(ordered.stream().allMatch(line -> line.contains("attempt, 1,")), ordered::toString);
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  @Test
  void taskUsesCapacityThatIsTooSmallForGang() {
    submitWhileOneWorkerIsFull(gangOfTwo(4_000, 1), 10_000);
    Job job = simulation.submit(List.of(StepBuilder.step(1, 8_000, 500)), 0);
    simulation.run(300);
    assertEquals(1, orderedRuns(job).size());
  }

  /** Guards against a gang whose members never work together after one of them was stopped. */
  @Test
  void membersOfAGangResumeFromTheSameCheckpoint() {
    PoolSimulation pool = new PoolSimulation(SEED, 4);
    SimulatedGangs gangs = new SimulatedGangs();
    pool.workers.forEach(
        worker -> {
          worker.resumesFromCheckpoint = true;
          worker.gangs = gangs;
        });
    pool.run(200);
    StepSpec gang =
        StepBuilder.of(3, 4_000, 60_000).gang().maxPerWorker(1).checkpointing(true).build();
    Map<Long, Set<String>> checkpoints = new HashMap<>();
    pool.outcomes =
        order -> {
          if (order instanceof Order.Start start) {
            Run run = start.run();
            checkpoints
                .computeIfAbsent(run.attempt(), key -> new HashSet<>())
                .add(run.startCheckpoint());
          }
          return PoolSimulation.OrderOutcome.answered();
        };
    Job job = pool.submit(List.of(gang), 0);
    pool.run(2_000);
    TaskId second = new TaskId(job.id(), 0, 0, 1);
    pool.workers.stream().filter(worker -> worker.runs(second)).findFirst().orElseThrow().draining =
        true;
    pool.run(3_000);
    assertTrue(checkpoints.size() > 1, checkpoints::toString);
    assertTrue(
        checkpoints.values().stream().allMatch(values -> values.size() == 1),
        checkpoints::toString);
    assertFalse(checkpoints.get(2L).contains(""), checkpoints::toString);
  }

  private static PoolSimulation newPool(int workers) {
    PoolSimulation pool = new PoolSimulation(SEED, workers);
    SimulatedGangs gangs = new SimulatedGangs();
    pool.workers.forEach(worker -> worker.gangs = gangs);
    pool.run(200);
    return pool;
  }

  /** Submits small short tasks at regular intervals, and returns how many of them are done. */
  private static long runBesideSmallTasks(PoolSimulation pool, long millis, long intervalMillis) {
    List<Job> jobs = new ArrayList<>();
    for (long until = pool.now + millis; pool.now < until; ) {
      jobs.add(pool.submit(List.of(StepBuilder.step(1, 2_000, 1_000)), 1));
      pool.run(intervalMillis);
    }
    return jobs.stream().filter(job -> job.phase() == JobPhase.COMPLETED).count();
  }

  private static void assertNoMemberWaitedInVain(PoolSimulation pool) {
    List<String> alone =
        pool.history.stream().filter(line -> line.contains("GANG_INCOMPLETE")).toList();
    assertEquals(List.of(), alone);
    assertEquals(List.of(), pool.oracle.violations, pool::describeViolations);
  }

  /** Load: small batch tasks for all workers, which fit wherever one of them has ended. */
  @Test
  void newGangGetsCapacityBesideSteadySmallBatchTasks() {
    PoolSimulation pool = newPool(4);
    runBesideSmallTasks(pool, 3_000, 50);
    Job gang = pool.submit(List.of(StepBuilder.of(2, 4_000, 500).gang().build()), 0);
    runBesideSmallTasks(pool, 5_000, 50);
    assertEquals(JobPhase.COMPLETED, gang.phase(), pool.history::toString);
    assertNoMemberWaitedInVain(pool);
  }

  /** Load: as above, beside a gang for which one worker has too little capacity for ever. */
  @Test
  void gangThatCannotFitLeavesCapacityToOtherTasks() {
    PoolSimulation pool = newPool(4);
    pool.submit(List.of(StepBuilder.longRunning(1, 6_000)), 0);
    pool.run(200);
    Job gang =
        pool.submit(List.of(StepBuilder.of(4, 4_000, 500).gang().maxPerWorker(1).build()), 0);
    long done = runBesideSmallTasks(pool, 10_000, 100);
    assertEquals(List.of(), orderedRuns(pool, gang));
    assertTrue(done >= 85, () -> done + " of 100 small tasks are done");
  }

  /** Load: runs of ten times their estimates, so that the reserved capacity is never complete. */
  @Test
  void reservationForAGangEndsWhereRunsExceedTheirEstimates() {
    PoolSimulation pool = newPool(1);
    SimulatedWorker worker = pool.workers.get(0);
    worker.workToEstimateRatio = task -> task.job().endsWith("1") ? 60 : 1;
    Job slow = pool.submit(List.of(StepBuilder.step(1, 4_000, 1_000)), 1);
    pool.run(200);
    pool.submit(List.of(StepBuilder.of(2, 4_000, 500).gang().build()), 0);
    pool.run(200);
    Job other = pool.submit(List.of(StepBuilder.step(1, 2_000, 20_000)), 1);
    pool.run(5_000);
    assertFalse(other.hasBegun());
    pool.run(6_000);
    assertTrue(other.hasBegun(), pool.history::toString);
    assertEquals(JobPhase.ACTIVE, slow.phase());
  }

  /** Failure: a worker rejects the start of one member; another worker has capacity. */
  @Test
  void memberWhoseStartIsRejectedJoinsTheOthersOnAnotherWorker() {
    PoolSimulation pool = newPool(3);
    pool.workers.get(0).unaccountedCpuMillis = 6_000;
    Job gang =
        pool.submit(List.of(StepBuilder.of(2, 4_000, 500).gang().maxPerWorker(1).build()), 0);
    pool.run(1_000);
    assertEquals(JobPhase.COMPLETED, gang.phase(), pool.history::toString);
    List<String> ordered = orderedRuns(pool, gang);
    assertEquals(3, ordered.size(), ordered::toString);
    assertTrue(ordered.stream().allMatch(line -> line.contains("attempt, 1,")), ordered::toString);
    assertNoMemberWaitedInVain(pool);
  }

  /** Failure: a worker rejects the starts of one member for a while; no other has capacity. */
  @Test
  void membersDoNotWaitAloneForOneWhoseStartIsRejected() {
    PoolSimulation pool = newPool(2);
    pool.workers.get(0).unaccountedCpuMillis = 6_000;
    Job gang =
        pool.submit(List.of(StepBuilder.of(2, 4_000, 500).gang().maxPerWorker(1).build()), 0);
    pool.run(8_000);
    pool.workers.get(0).unaccountedCpuMillis = 0;
    pool.run(2_500);
    assertEquals(JobPhase.COMPLETED, gang.phase(), pool.history::toString);
    assertNoMemberWaitedInVain(pool);
  }
}
