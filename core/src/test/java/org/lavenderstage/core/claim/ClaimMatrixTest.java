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

/** Every fault in front of every step of a request, alone and in pairs, under virtual time. */
class ClaimMatrixTest {
  private static final int ENTRIES = 3;
  private static final long TIMEOUT_MILLIS = 900;

  /** Steps of a request's course, a fault of the matrix strikes in front of one. */
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

  /** One fault in front of one stage. */
  private record Cell(ClaimFault fault, Stage stage) {}

  static Stream<Cell> cells() {
    return Stream.of(ClaimFault.values())
        .flatMap(fault -> Stream.of(Stage.values()).map(stage -> new Cell(fault, stage)));
  }

  static Stream<Arguments> faults() {
    return Stream.of(ClaimFault.values())
        .flatMap(one -> Stream.of(ClaimFault.values()).map(two -> Arguments.of(one, two)));
  }

  @ParameterizedTest
  @MethodSource("cells")
  void oneFaultBreaksNoPromise(Cell cell) {
    check(List.of(cell));
  }

  /** One test for a pair of faults; it goes through every pair of stages. */
  @ParameterizedTest
  @MethodSource("faults")
  void twoFaultsBreakNoPromise(ClaimFault one, ClaimFault two) {
    for (Stage first : Stage.values()) {
      for (Stage second : Stage.values()) {
        check(List.of(new Cell(one, first), new Cell(two, second)));
      }
    }
  }

  @Test
  void withoutAFaultTheRequestRunsOnceAndEveryRepeatGetsItsAnswer() {
    ClaimWorld world = run(ClaimDefect.NONE, List.of());
    assertEquals(1, world.oracle().starts(world.key(0)));
    assertEquals(4, world.oracle().count(Outcome.ANSWERED));
  }

  @ParameterizedTest
  @EnumSource(value = ClaimDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void theMatrixCatchesEveryBrokenVariant(ClaimDefect defect) {
    List<Cell> caught = new ArrayList<>();
    cells()
        .filter(cell -> !run(defect, List.of(cell)).oracle().broken().isEmpty())
        .forEach(caught::add);
    assertTrue(!caught.isEmpty(), defect + " was not caught");
  }

  private static void check(List<Cell> cells) {
    ClaimWorld world = run(ClaimDefect.NONE, cells);
    assertEquals(List.of(), world.oracle().broken(), cells::toString);
    assertEquals(List.of(), world.unfinished(), cells::toString);
  }

  private static ClaimWorld run(ClaimDefect defect, List<Cell> cells) {
    ClaimWorld world = new ClaimWorld(defect, ENTRIES);
    RequestKey key = world.key(0);
    for (Stage stage : Stage.values()) {
      cells.stream()
          .filter(cell -> cell.stage() == stage)
          .forEach(cell -> strike(world, key, cell.fault()));
      if (!world.node(0).isFrozen()) {
        course(world, key, stage);
      }
    }
    world.drain();
    world.node(0).submit(key, TIMEOUT_MILLIS);
    world.node(1).submit(key, TIMEOUT_MILLIS);
    world.drain();
    world.node(2).submit(key, TIMEOUT_MILLIS);
    world.drain();
    return world;
  }

  private static void course(ClaimWorld world, RequestKey key, Stage stage) {
    ClaimNode entry = world.node(0);
    switch (stage) {
      case ARRIVE -> entry.submit(key, TIMEOUT_MILLIS);
      case APPEND, SETTLE -> entry.append(false);
      case READ_BACK, END -> entry.read(Integer.MAX_VALUE);
      case CHECK -> entry.check();
      case SEND -> entry.send(false);
      case ANSWER -> entry.answer(0);
    }
  }

  private static void strike(ClaimWorld world, RequestKey key, ClaimFault fault) {
    ClaimNode entry = world.node(0);
    switch (fault) {
      case APPEND_ANSWER_LOST -> entry.append(true);
      case LOG_DOWN -> world.apply(new ClaimStep(ClaimStep.Kind.LOG_DOWN, 0, 0));
      case CLAIM_SLOW -> {
        world.advance(500);
        entry.tick();
      }
      case ENTRY_KILLED -> world.replace(0, false);
      case ENTRY_KILLED_WITH_AN_APPEND_UNDER_WAY -> world.replace(0, true);
      case ENTRY_FROZEN_PAST_THE_DEADLINE -> world.advance(1000);
      case ENTRY_FROZEN_AFTER_GIVING_UP -> {
        world.advance(500);
        entry.tick();
        entry.freeze(true);
        entry.append(false);
        world.node(1).read(Integer.MAX_VALUE);
        world.node(1).submit(key, TIMEOUT_MILLIS);
        world.node(1).append(false);
        world.node(1).read(Integer.MAX_VALUE);
      }
      case REPEATS_THROUGH_TWO_ENTRIES -> {
        for (int place = 1; place < ENTRIES; place++) {
          world.node(place).submit(key, TIMEOUT_MILLIS);
          world.node(place).append(false);
          world.node(place).read(Integer.MAX_VALUE);
          world.node(place).check();
          world.node(place).send(false);
        }
      }
      case ALL_ENTRIES_REPLACED -> {
        for (int place = 0; place < ENTRIES; place++) {
          world.replace(place, place == 0);
        }
      }
      case KEY_GROWS_OLD -> world.advance(ClaimWorld.WINDOW.pastMillis() - 200);
      case KEY_GROWS_TOO_OLD -> world.advance(ClaimWorld.WINDOW.pastMillis() + 200);
      case ANSWER_CROSSED -> entry.crossAnswer(0);
      case ANSWER_CUT_OR_LATE -> entry.loseAnswer(0);
      case REFUSED_BY_THE_UPSTREAM -> entry.send(true);
    }
  }
}
