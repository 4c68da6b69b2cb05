package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.StepSpec;

/** The members of a gang start together or not at all; workers have 8 cores. */
class GangPlacementTest {
  private static final long SEED = 1;

  private final PoolSimulation world = new PoolSimulation(SEED, 2);

  private static StepSpec pair(int cpuMillis, int maxPerWorker) {
    return StepBuilder.of(2, cpuMillis, 500).gang().maxPerWorker(maxPerWorker).build();
  }

  private List<String> runsOrderedFor(Job job) {
    return world.history.stream()
        .filter(line -> line.contains("RUN_ORDERED") && line.contains(job.id()))
        .toList();
  }

  private Job submitWhileOneWorkerIsFull(StepSpec gang, long fullMillis) {
    world.run(200);
    world.submit(List.of(StepBuilder.step(1, 8_000, fullMillis)), 0);
    world.run(200);
    Job job = world.submit(List.of(gang), 0);
    world.run(2_000);
    return job;
  }

  /** A gang of which only the first member had room was called running. */
  @ParameterizedTest
  @CsvSource({"8000, 0", "4000, 1"})
  void aGangThatWaitsForRoomHasNotBegun(int cpuMillis, int maxPerWorker) {
    Job job = submitWhileOneWorkerIsFull(pair(cpuMillis, maxPerWorker), 10_000);
    assertEquals(List.of(), runsOrderedFor(job));
    assertFalse(job.hasBegun());
  }

  /** Each round without room for the whole gang used up an attempt. */
  @ParameterizedTest
  @CsvSource({"8000, 0", "4000, 1"})
  void aGangThatHasWaitedStartsWholeWithItsFirstAttempt(int cpuMillis, int maxPerWorker) {
    Job job = submitWhileOneWorkerIsFull(pair(cpuMillis, maxPerWorker), 3_000);
    world.run(4_000);
    List<String> ordered = runsOrderedFor(job);
    assertEquals(2, ordered.size(), ordered::toString);
    assertTrue(ordered.stream().allMatch(line -> line.contains("attempt, 1,")), ordered::toString);
    assertEquals(List.of(), world.oracle.violations, world::describeViolations);
  }

  @Test
  void aTaskGetsTheRoomThatWasTooLittleForAGang() {
    submitWhileOneWorkerIsFull(pair(4_000, 1), 10_000);
    Job job = world.submit(List.of(StepBuilder.step(1, 8_000, 500)), 0);
    world.run(300);
    assertEquals(1, runsOrderedFor(job).size());
  }
}
