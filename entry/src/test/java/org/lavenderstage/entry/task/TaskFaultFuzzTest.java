package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import org.lavenderstage.standin.worker.TaskLedger;

/** Injects up to eight random faults at random times into a run of a few thousand steps. */
class TaskFaultFuzzTest {
  private static final int TICKS = 600;

  /** A fault that is injected at a given tick. */
  record ScheduledFault(int tick, Fault fault, int worker) {}

  @Property(seed = "1", tries = 400)
  void randomFaultsBreakNoGuarantee(@ForAll("schedules") List<ScheduledFault> schedule) {
    check(schedule);
  }

  @Property(tries = 400)
  @Tag("fresh")
  void faultsFromFreshSeedsBreakNoGuarantee(@ForAll("schedules") List<ScheduledFault> schedule) {
    check(schedule);
  }

  @Example
  void aCheckpointIsResumedEvenIfItsAnswerIsLostAndItsWorkerPartitioned() {
    check(
        List.of(
            new ScheduledFault(46, Fault.WORKER_ANSWERS_LOST, 0),
            new ScheduledFault(83, Fault.WORKER_PARTITIONED_BRIEFLY, 0)));
    check(
        List.of(
            new ScheduledFault(2, Fault.OWNER_KILLED_BEFORE, 0),
            new ScheduledFault(90, Fault.WORKER_ANSWERS_LOST, 0),
            new ScheduledFault(127, Fault.WORKER_PARTITIONED_BRIEFLY, 0)));
  }

  @Provide
  Arbitrary<List<ScheduledFault>> schedules() {
    Arbitrary<Fault> faults =
        Arbitraries.of(Fault.values()).filter(fault -> fault != Fault.LOG_DOWN);
    return Combinators.combine(
            Arbitraries.integers().between(1, TICKS), faults, Arbitraries.integers().between(0, 2))
        .as(ScheduledFault::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(8);
  }

  private static void check(List<ScheduledFault> schedule) {
    TaskSimulation simulation = new TaskSimulation(TaskDefect.NONE, List.of());
    for (int tick = 1; tick <= TICKS; tick++) {
      for (ScheduledFault scheduled : schedule) {
        if (scheduled.tick() == tick) {
          simulation.injectIntoOwner(scheduled.fault(), scheduled.worker());
        }
      }
      simulation.tick();
    }
    TaskLedger oracle = simulation.run();
    assertEquals(0, oracle.concurrentAttempts(), "tasks running twice at once");
    assertEquals(0, oracle.overcommitted(), "overcommitted workers");
    assertEquals(8, oracle.done(), "completed tasks");
    if (schedule.stream()
        .noneMatch(
            scheduled -> TaskFaultMatrixTest.FAULTS_LOSING_WORK.contains(scheduled.fault()))) {
      assertEquals(0, oracle.repeatedResumes(), "checkpoints resumed more than once");
      assertEquals(0, oracle.unusedCheckpoints(), "checkpoints never resumed");
    }
  }
}
