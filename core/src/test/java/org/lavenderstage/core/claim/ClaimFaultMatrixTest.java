package org.lavenderstage.core.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.Outcome;

/** Injects every fault before every stage of a request, alone and in pairs, in virtual time. */
class ClaimFaultMatrixTest {
  private static final int ENTRIES = 3;
  private static final long TIMEOUT_MILLIS = 900;

  /** Stages of a request; a fault is injected before one of them. */
  private enum Stage {
    ARRIVE,
    APPEND,
    READ_BACK,
    CHECK,
    SEND,
    ANSWER,
    SETTLE,
    END
  }

  /** A fault and the stage before which it is injected. */
  private record FaultAtStage(ClaimFault fault, Stage stage) {}

  static Stream<FaultAtStage> cells() {
    return Stream.of(ClaimFault.values())
        .flatMap(fault -> Stream.of(Stage.values()).map(stage -> new FaultAtStage(fault, stage)));
  }

  static Stream<Arguments> faults() {
    return Stream.of(ClaimFault.values())
        .flatMap(one -> Stream.of(ClaimFault.values()).map(two -> Arguments.of(one, two)));
  }

  @ParameterizedTest
  @MethodSource("cells")
  void everyInvariantHoldsWithOneFault(FaultAtStage faultAtStage) {
    check(List.of(faultAtStage));
  }

  /** Tests one pair of faults before every pair of stages. */
  @ParameterizedTest
  @MethodSource("faults")
  void everyInvariantHoldsWithTwoFaults(ClaimFault one, ClaimFault two) {
    for (Stage first : Stage.values()) {
      for (Stage second : Stage.values()) {
        check(List.of(new FaultAtStage(one, first), new FaultAtStage(two, second)));
      }
    }
  }

  @Test
  void withoutFaultsRequestRunsOnceAndEveryRepeatGetsItsAnswer() {
    ClaimSimulation simulation = run(ClaimDefect.NONE, List.of());
    assertEquals(1, simulation.oracle().starts(simulation.key(0)));
    assertEquals(4, simulation.oracle().count(Outcome.ANSWERED));
  }

  @ParameterizedTest
  @EnumSource(value = ClaimDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void detectsEveryDefect(ClaimDefect defect) {
    List<FaultAtStage> detecting = new ArrayList<>();
    cells()
        .filter(faultAtStage -> !run(defect, List.of(faultAtStage)).oracle().violations().isEmpty())
        .forEach(detecting::add);
    assertTrue(!detecting.isEmpty(), defect + " was not detected");
  }

  private static void check(List<FaultAtStage> injections) {
    ClaimSimulation simulation = run(ClaimDefect.NONE, injections);
    assertEquals(List.of(), simulation.oracle().violations(), injections::toString);
    assertEquals(List.of(), simulation.unfinished(), injections::toString);
  }

  private static ClaimSimulation run(ClaimDefect defect, List<FaultAtStage> injections) {
    ClaimSimulation simulation = new ClaimSimulation(defect, ENTRIES);
    RequestKey key = simulation.key(0);
    for (Stage stage : Stage.values()) {
      injections.stream()
          .filter(faultAtStage -> faultAtStage.stage() == stage)
          .forEach(faultAtStage -> inject(simulation, key, faultAtStage.fault()));
      if (!simulation.node(0).isPaused()) {
        perform(simulation, key, stage);
      }
    }
    simulation.drain();
    simulation.node(0).submit(key, TIMEOUT_MILLIS);
    simulation.node(1).submit(key, TIMEOUT_MILLIS);
    simulation.drain();
    simulation.node(2).submit(key, TIMEOUT_MILLIS);
    simulation.drain();
    return simulation;
  }

  private static void perform(ClaimSimulation simulation, RequestKey key, Stage stage) {
    ClaimNode entry = simulation.node(0);
    switch (stage) {
      case ARRIVE -> entry.submit(key, TIMEOUT_MILLIS);
      case APPEND, SETTLE -> entry.append(false);
      case READ_BACK, END -> entry.read(Integer.MAX_VALUE);
      case CHECK -> entry.check();
      case SEND -> entry.send(false);
      case ANSWER -> entry.answer(0);
    }
  }

  private static void inject(ClaimSimulation simulation, RequestKey key, ClaimFault fault) {
    ClaimNode entry = simulation.node(0);
    switch (fault) {
      case APPEND_ANSWER_LOST -> entry.append(true);
      case LOG_DOWN -> simulation.apply(new ClaimStep(ClaimStep.Kind.LOG_DOWN, 0, 0));
      case CLAIM_SLOW -> {
        simulation.advance(500);
        entry.tick();
      }
      case ENTRY_KILLED -> simulation.replace(0, false);
      case ENTRY_KILLED_DURING_APPEND -> simulation.replace(0, true);
      case ENTRY_PAUSED_PAST_DEADLINE -> simulation.advance(1000);
      case ENTRY_PAUSED_AFTER_ABANDONING_CLAIM -> {
        simulation.advance(500);
        entry.tick();
        entry.setPaused(true);
        entry.append(false);
        simulation.node(1).read(Integer.MAX_VALUE);
        simulation.node(1).submit(key, TIMEOUT_MILLIS);
        simulation.node(1).append(false);
        simulation.node(1).read(Integer.MAX_VALUE);
      }
      case REPEATS_AT_TWO_ENTRIES -> {
        for (int index = 1; index < ENTRIES; index++) {
          simulation.node(index).submit(key, TIMEOUT_MILLIS);
          simulation.node(index).append(false);
          simulation.node(index).read(Integer.MAX_VALUE);
          simulation.node(index).check();
          simulation.node(index).send(false);
        }
      }
      case ALL_ENTRIES_REPLACED -> {
        for (int index = 0; index < ENTRIES; index++) {
          simulation.replace(index, index == 0);
        }
      }
      case KEY_NEARLY_EXPIRED -> simulation.advance(ClaimSimulation.WINDOW.pastMillis() - 200);
      case KEY_EXPIRED -> simulation.advance(ClaimSimulation.WINDOW.pastMillis() + 200);
      case ANSWER_OF_OTHER_REQUEST -> entry.swapAnswer(0);
      case ANSWER_INCOMPLETE_OR_LATE -> entry.loseAnswer(0);
      case REFUSED_BY_UPSTREAM -> entry.send(true);
    }
  }
}
