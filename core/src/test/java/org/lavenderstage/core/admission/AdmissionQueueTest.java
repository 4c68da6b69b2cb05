package org.lavenderstage.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
  private static final int STEPS = 400;
  private static final int CAPACITY = 10_000;
  private static final Map<String, Integer> SHARES = Map.of("a", 1, "b", 1, "c", 2, "d", 4);

  @Property(seed = "1", tries = 200)
  void servesRanksInOrderBeyondTheFloor(@ForAll long seed) {
    assertTrue(keepsRankOrder(seed, waiting -> waiting.rank()));
  }

  @Tag("fresh")
  @Property(tries = 500)
  void servesRanksInOrderBeyondTheFloorUnderFreshSeeds(@ForAll long seed) {
    assertTrue(keepsRankOrder(seed, waiting -> waiting.rank()));
  }

  @Test
  void catchesAQueueWithoutRanks() {
    assertFalse(keepsRankOrder(1, waiting -> 1));
  }

  /** Compares with a model that counts what waits in each rank; the queue sees a rank of choice. */
  private static boolean keepsRankOrder(long seed, ToIntFunction<QueuedRequest<Integer>> seenRank) {
    Random random = new Random(seed);
    AdmissionQueue<Integer> queue = new AdmissionQueue<>(CAPACITY, CAPACITY);
    Map<Integer, Integer> model = new TreeMap<>();
    int mixedTurns = 0;
    int inversions = 0;
    for (int step = 0; step < STEPS; step++) {
      int rank = 1 + random.nextInt(3);
      if (random.nextInt(5) < 3) {
        QueuedRequest<Integer> waiting = new QueuedRequest<>(rank, rank, "w", 1, step, false);
        queue.offer(new QueuedRequest<>(rank, seenRank.applyAsInt(waiting), "w", 1, step, false));
        model.merge(rank, 1, Integer::sum);
      } else if (queue.size() > 0) {
        int served = queue.take().orElseThrow().item();
        int highest =
            model.entrySet().stream().filter(e -> e.getValue() > 0).findFirst().get().getKey();
        int ranks = (int) model.values().stream().filter(count -> count > 0).count();
        mixedTurns += ranks > 1 ? 1 : 0;
        inversions += served > highest ? 1 : 0;
        model.merge(served, -1, Integer::sum);
      }
    }
    return inversions <= mixedTurns / AdmissionQueue.LOWEST_RANK_TURN_INTERVAL;
  }

  @Property(seed = "1", tries = 100)
  void sharesASaturatedQueueByWeight(@ForAll long seed) {
    assertTrue(unfairness(seed, SHARES::get) < 0.05);
  }

  @Test
  void catchesAQueueThatIgnoresWeights() {
    assertTrue(unfairness(1, workspace -> 1) > 0.05);
  }

  private static double unfairness(long seed, ToIntFunction<String> seenShare) {
    Random random = new Random(seed);
    AdmissionQueue<String> queue = new AdmissionQueue<>(CAPACITY, CAPACITY);
    Map<String, Integer> served = new TreeMap<>();
    for (String workspace : SHARES.keySet()) {
      for (int i = 0; i < 1000; i++) {
        queue.offer(waiting(workspace, seenShare, random.nextInt(1000)));
      }
    }
    int turns = 800;
    for (int i = 0; i < turns; i++) {
      served.merge(queue.take().orElseThrow().item(), 1, Integer::sum);
    }
    double worst = 0;
    for (Map.Entry<String, Integer> share : SHARES.entrySet()) {
      double due = turns * share.getValue() / 8.0;
      worst = Math.max(worst, Math.abs(served.getOrDefault(share.getKey(), 0) / due - 1));
    }
    return worst;
  }

  private static QueuedRequest<String> waiting(
      String workspace, ToIntFunction<String> share, long deadline) {
    return new QueuedRequest<>(
        workspace, 1, workspace, share.applyAsInt(workspace), deadline, false);
  }

  @Test
  void servesTheEarliestDeadlineOfAWorkspaceFirst() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(CAPACITY, CAPACITY);
    for (long deadline : new long[] {30, 10, 20}) {
      queue.offer(new QueuedRequest<>("d" + deadline, 1, "w", 1, deadline, false));
    }
    assertEquals("d10", queue.take().orElseThrow().item());
    assertEquals("d20", queue.take().orElseThrow().item());
    assertEquals("d30", queue.take().orElseThrow().item());
  }

  @Test
  void boundsWhatOneWorkspaceMayQueue() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(3, 2);
    Predicate<String> offer = name -> queue.offer(new QueuedRequest<>(name, 1, name, 1, 9, false));
    assertTrue(offer.test("a"));
    assertTrue(offer.test("a"));
    assertFalse(offer.test("a"));
    assertTrue(offer.test("b"));
    assertFalse(offer.test("c"));
  }
}
