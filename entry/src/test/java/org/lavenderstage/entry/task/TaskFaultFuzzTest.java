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

/** Random faults at random times, up to eight in a run of some thousand steps. */
class TaskFaultFuzzTest {
  private static final int TICKS = 600;

  /** A fault at a time. */
  record Scheduled(int tick, Fault fault, int worker) {}

  @Property(seed = "1", tries = 400)
  void randomFaultsBreakNoPromise(@ForAll("schedules") List<Scheduled> schedule) {
    check(schedule);
  }

  @Property(tries = 400)
  @Tag("fresh")
  void freshFaultsBreakNoPromise(@ForAll("schedules") List<Scheduled> schedule) {
    check(schedule);
  }

  @Example
  void aCheckpointIsResumedThoughItsAnswerIsLostAndItsWorkerCutOff() {
    check(
        List.of(
            new Scheduled(46, Fault.WORKER_ANSWERS_LOST, 0),
            new Scheduled(83, Fault.WORKER_CUT_BRIEFLY, 0)));
    check(
        List.of(
            new Scheduled(2, Fault.OWNER_KILLED_BEFORE, 0),
            new Scheduled(90, Fault.WORKER_ANSWERS_LOST, 0),
            new Scheduled(127, Fault.WORKER_CUT_BRIEFLY, 0)));
  }

  @Provide
  Arbitrary<List<Scheduled>> schedules() {
    Arbitrary<Fault> faults =
        Arbitraries.of(Fault.values()).filter(fault -> fault != Fault.LOG_DOWN);
    return Combinators.combine(
            Arbitraries.integers().between(1, TICKS), faults, Arbitraries.integers().between(0, 2))
        .as(Scheduled::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(8);
  }

  private static void check(List<Scheduled> schedule) {
    TaskWorld world = new TaskWorld(BrokenVariant.NONE, List.of());
    for (int tick = 1; tick <= TICKS; tick++) {
      for (Scheduled next : schedule) {
        if (next.tick() == tick) {
          world.strikeOwner(next.fault(), next.worker());
        }
      }
      world.tick();
    }
    TaskLedger oracle = world.run();
    assertEquals(0, oracle.twoPlaces(), "two places");
    assertEquals(0, oracle.overcommitted(), "overcommitted");
    assertEquals(8, oracle.done(), "done");
    if (schedule.stream().noneMatch(next -> TaskFaultMatrixTest.WORK_LOST.contains(next.fault()))) {
      assertEquals(0, oracle.resumedAgain(), "resumed again");
      assertEquals(0, oracle.neverResumed(), "never resumed");
    }
  }
}
