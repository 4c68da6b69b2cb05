package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.StepSpec;

/**
 * A stream of filling jobs beside serving tasks that reserve four fifths of the workers and use
 * half of that. The bounds are the users': no serving task over its target for four seconds on end
 * because of fillers, and most of what nothing uses given to fillers.
 */
class BestEffortLoadTest {
  private static final long SEED = 11;
  private static final int WORKERS = 8;
  private static final int WORKER_CPU = 32_000;
  private static final int SERVING_CPU = 6_400;
  private static final int SERVING_JOBS = 8;
  private static final int TARGET_MILLIS = 150;
  private static final long HARM_MILLIS = 4_000;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long MEASURED_MILLIS = 30_000;

  /** One job of 48 core-seconds each time, which is more than the unused cores can do. */
  private static final long SUBMIT_MILLIS = 250;

  private static final List<String> SERVING = List.of("s0", "s1", "s2", "s3");

  private static StepSpec serving(int count, String image) {
    return StepBuilder.ofServing(count, SERVING_CPU, image, TARGET_MILLIS)
        .memoryMb(13_000)
        .maxPerWorker(1)
        .build();
  }

  private static StepSpec filling(String image) {
    return StepBuilder.ofBestEffort(8, 3_500, 1_700, image)
        .memoryMb(6_400)
        .checkpointing(true)
        .build();
  }

  private static PoolSimulation world(SimulatedInterference model) {
    PoolSimulation simulation = new PoolSimulation(SEED, WORKERS);
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = WORKER_CPU;
      worker.interference = Optional.of(model);
    }
    simulation.run(500);
    for (int i = 0; i < SERVING_JOBS; i++) {
      simulation.submit(List.of(serving(4, SERVING.get(i % SERVING.size()))), 0);
    }
    simulation.run(WARM_UP_MILLIS);
    return simulation;
  }

  /** Hands in more filling jobs than can run; returns the part of the unused cores they used. */
  private static double fill(
      PoolSimulation simulation, SimulatedInterference model, List<String> images) {
    double before = model.fillingCoreMillis;
    long end = simulation.now + MEASURED_MILLIS;
    for (int i = 0; simulation.now < end; i++) {
      simulation.submit(List.of(filling(images.get(i % images.size()))), 2);
      simulation.run(SUBMIT_MILLIS);
    }
    int reserved = SERVING_JOBS * 4 * SERVING_CPU;
    double unused = WORKERS * WORKER_CPU - reserved * 0.48;
    return (model.fillingCoreMillis - before) / (unused / 1_000 * MEASURED_MILLIS);
  }

  private static SimulatedInterference swingingLoad() {
    return new SimulatedInterference(SEED, 0.48, 0.5, 20_000);
  }

  private static void pressLightly(SimulatedInterference model, List<String> images) {
    for (String filling : images) {
      SERVING.forEach(serving -> model.setCoefficient(filling, serving, 0.07));
    }
  }

  @Test
  void harmlessFillersUseMostOfWhatServingTasksReserveAndLeave() {
    SimulatedInterference model = swingingLoad();
    List<String> images = List.of("f0", "f1", "f2", "f3", "f4");
    pressLightly(model, images);
    PoolSimulation simulation = world(model);
    double part = fill(simulation, model, images);
    assertTrue(part > 0.8, "part of the unused cores: " + part);
    assertEquals(0, model.overMillis);
    assertEquals(List.of(), simulation.oracle.violations);
  }

  /** What a world and its model hold once a load was played. */
  private record Played(PoolSimulation world, SimulatedInterference model, double part) {}

  private static Played playWithHeavyImages() {
    SimulatedInterference model = swingingLoad();
    List<String> harmless = List.of("f0", "f1", "f2", "f3", "f4");
    List<String> heavy = List.of("h0", "h1", "h2", "h3");
    pressLightly(model, harmless);
    pressLightly(model, heavy);
    for (int i = 0; i < heavy.size(); i++) {
      model.setCoefficient(heavy.get(i), SERVING.get(i), 5);
      model.setCoefficient(heavy.get(i), SERVING.get((i + 1) % SERVING.size()), 1.5);
    }
    PoolSimulation simulation = world(model);
    List<String> images = new ArrayList<>(harmless);
    images.addAll(heavy);
    return new Played(simulation, model, fill(simulation, model, images));
  }

  @Test
  void imagesThatRuinSomeServingTasksHarmNoneForLongAndStillRunBesideOthers() {
    Played played = playWithHeavyImages();
    SimulatedInterference model = played.model;
    assertTrue(played.part > 0.6, "part of the unused cores: " + played.part);
    assertTrue(model.longestOverMillis < HARM_MILLIS, "longest: " + model.longestOverMillis);
    double over = (double) model.overMillis / model.servingMillis;
    assertTrue(over < 0.03, "part of the serving time over target: " + over);
    assertEquals(List.of(), played.world.oracle.violations);
  }

  /** The second play's objects have other identity hashes, as they would in another JVM. */
  @Test
  void oneSeedGivesOneHistoryWhateverTheIdentityHashes() {
    Played first = playWithHeavyImages();
    Played again = playWithHeavyImages();
    List<String> history = first.world.history;
    for (int i = 0; i < Math.min(history.size(), again.world.history.size()); i++) {
      assertEquals(history.get(i), again.world.history.get(i), "line " + i);
    }
    assertEquals(history.size(), again.world.history.size());
    assertEquals(first.model.overMillis, again.model.overMillis);
    assertEquals(first.part, again.part);
  }
}
