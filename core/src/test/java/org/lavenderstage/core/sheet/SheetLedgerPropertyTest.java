package org.lavenderstage.core.sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

class SheetLedgerPropertyTest {
  private static final int STEPS = 200;
  private static final int ROWS = 6;
  private static final int MAX_CHOICE = 40;

  @Property(seed = "1", tries = 300)
  void concurrentPublicationsMatchModel(@ForAll("histories") ActionChain<SheetSimulation> history) {
    history.run();
    assertEquals(STEPS, history.transformations().size());
  }

  @Tag("fresh")
  @Property(tries = 2000)
  void concurrentPublicationsMatchModelWithFreshSeeds(
      @ForAll("histories") ActionChain<SheetSimulation> history) {
    history.run();
  }

  @Example
  void detectsCommitFromOldBaseThatIsNotMerged() {
    assertDetected(
        (changed, current, published) ->
            new SheetMerge.Result(new TreeMap<>(published), List.of()));
  }

  @Example
  void detectsLaterCommitThatWinsConflict() {
    assertDetected(
        (changed, current, published) ->
            new SheetMerge.Result(SheetMerge.merge(changed, current, published).rows(), List.of()));
  }

  @Example
  void detectsLostChangesOfOthers() {
    assertDetected((changed, current, published) -> SheetMerge.merge(Map.of(), current, published));
  }

  private static void assertDetected(SheetMerge.Rule defect) {
    Random random = new Random(1);
    assertThrows(
        AssertionError.class,
        () -> {
          SheetSimulation simulation = new SheetSimulation(defect);
          for (int i = 0; i < STEPS; i++) {
            String key = "class c-" + random.nextInt(ROWS);
            simulation.prepare(random.nextInt(3), Map.of(key, String.valueOf(random.nextInt(5))));
            simulation.commit(i, true, random.nextBoolean());
          }
        });
  }

  @Provide
  Arbitrary<ActionChain<SheetSimulation>> histories() {
    return ActionChain.<SheetSimulation>startWith(() -> new SheetSimulation(SheetMerge::merge))
        .withAction(3, new Prepare())
        .withAction(2, new Part())
        .withAction(4, new Commit())
        .withAction(1, new Restart())
        .withMaxTransformations(STEPS);
  }

  /** An operator prepares a publication from a recent version. */
  private static final class Prepare implements Action.Independent<SheetSimulation> {
    @Override
    public Arbitrary<Transformer<SheetSimulation>> transformer() {
      Arbitrary<String> keys = Arbitraries.integers().between(0, ROWS).map(i -> "class c-" + i);
      Arbitrary<String> ranks =
          Arbitraries.frequencyOf(
              Tuple.of(1, Arbitraries.just("")),
              Tuple.of(4, Arbitraries.integers().between(0, 3).map(String::valueOf)));
      Arbitrary<Map<String, String>> changes =
          Arbitraries.maps(keys, ranks).ofMinSize(1).ofMaxSize(3);
      Arbitrary<Integer> lag = Arbitraries.integers().between(0, 5);
      return Combinators.combine(lag, changes)
          .as(
              (back, rows) ->
                  Transformer.mutate(
                      "start " + back + " versions back, change " + rows,
                      simulation -> simulation.prepare(back, rows)));
    }
  }

  /** One part arrives, possibly without the others. */
  private static final class Part implements Action.Independent<SheetSimulation> {
    @Override
    public Arbitrary<Transformer<SheetSimulation>> transformer() {
      Arbitrary<Integer> chosen = Arbitraries.integers().between(0, MAX_CHOICE);
      Arbitrary<Integer> index = Arbitraries.integers().between(0, 2);
      return Combinators.combine(chosen, index)
          .as(
              (which, part) ->
                  Transformer.mutate(
                      "part " + part + " of " + which, simulation -> simulation.part(which, part)));
    }
  }

  /** A new process starts from a snapshot. */
  private static final class Restart implements Action.Independent<SheetSimulation> {
    @Override
    public Arbitrary<Transformer<SheetSimulation>> transformer() {
      return Arbitraries.just(
          Transformer.mutate("restart from a snapshot", SheetSimulation::restart));
    }
  }

  /** A commit arrives, with or without its parts, once or twice, in any order. */
  private static final class Commit implements Action.Independent<SheetSimulation> {
    @Override
    public Arbitrary<Transformer<SheetSimulation>> transformer() {
      Arbitrary<Integer> chosen = Arbitraries.integers().between(0, MAX_CHOICE);
      Arbitrary<Boolean> whole = Arbitraries.of(true, true, true, false);
      Arbitrary<Boolean> doubled = Arbitraries.of(true, false);
      return Combinators.combine(chosen, whole, doubled)
          .as(
              (which, withParts, twice) ->
                  Transformer.mutate(
                      "commit "
                          + which
                          + (withParts ? " with all parts" : "")
                          + (twice ? " twice" : ""),
                      simulation -> simulation.commit(which, withParts, twice)));
    }
  }
}
