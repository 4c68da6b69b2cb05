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
  private static final Map<String, Integer> WEIGHTS = Map.of("a", 1, "b", 1, "c", 2, "d", 4);

  @Property(seed = "1", tries = 200)
  void servesRanksInOrderExceptTheLowestRanksTurns(@ForAll long seed) {
    assertTrue(keepsRankOrder(seed, request -> request.rank()));
  }

  @Tag("fresh")
  @Property(tries = 500)
  void servesRanksInOrderExceptTheLowestRanksTurnsUnderFreshSeeds(@ForAll long seed) {
    assertTrue(keepsRankOrder(seed, request -> request.rank()));
  }

  @Test
  void detectsAQueueWithoutRanks() {
    assertFalse(keepsRankOrder(1, request -> 1));
  }

  /**
   * Returns whether requests are served by rank, except for the lowest rank's turns. The queue is
   * given the rank that {@code rankInQueue} returns, and is compared with the actual ranks.
   */
  private static boolean keepsRankOrder(
      long seed, ToIntFunction<QueuedRequest<Integer>> rankInQueue) {
    Random random = new Random(seed);
    AdmissionQueue<Integer> queue = new AdmissionQueue<>(CAPACITY, CAPACITY);
    Map<Integer, Integer> queuedByRank = new TreeMap<>();
    int mixedTurns = 0;
    int inversions = 0;
    for (int step = 0; step < STEPS; step++) {
      int rank = 1 + random.nextInt(3);
      if (random.nextInt(5) < 3) {
        QueuedRequest<Integer> request = new QueuedRequest<>(rank, rank, "w", 1, step, false);
        queue.offer(
            new QueuedRequest<>(rank, rankInQueue.applyAsInt(request), "w", 1, step, false));
        queuedByRank.merge(rank, 1, Integer::sum);
      } else if (queue.size() > 0) {
        int served = queue.take().orElseThrow().item();
        int highest =
            queuedByRank.entrySet().stream()
                .filter(e -> e.getValue() > 0)
                .findFirst()
                .get()
                .getKey();
        int ranks = (int) queuedByRank.values().stream().filter(count -> count > 0).count();
        mixedTurns += ranks > 1 ? 1 : 0;
        inversions += served > highest ? 1 : 0;
        queuedByRank.merge(served, -1, Integer::sum);
      }
    }
    return inversions <= mixedTurns / AdmissionQueue.LOWEST_RANK_TURN_INTERVAL;
  }

  @Property(seed = "1", tries = 100)
  void dividesASaturatedQueueByWeight(@ForAll long seed) {
    assertTrue(largestDeviation(seed, WEIGHTS::get) < 0.05);
  }

  @Test
  void detectsAQueueThatIgnoresWeights() {
    assertTrue(largestDeviation(1, workspace -> 1) > 0.05);
  }

  private static double largestDeviation(long seed, ToIntFunction<String> weightInQueue) {
    Random random = new Random(seed);
    AdmissionQueue<String> queue = new AdmissionQueue<>(CAPACITY, CAPACITY);
    Map<String, Integer> served = new TreeMap<>();
    for (String workspace : WEIGHTS.keySet()) {
      for (int i = 0; i < 1000; i++) {
        queue.offer(request(workspace, weightInQueue, random.nextInt(1000)));
      }
    }
    int turns = 800;
    for (int i = 0; i < turns; i++) {
      served.merge(queue.take().orElseThrow().item(), 1, Integer::sum);
    }
    double largest = 0;
    for (Map.Entry<String, Integer> workspaceWeight : WEIGHTS.entrySet()) {
      double expected = turns * workspaceWeight.getValue() / 8.0;
      largest =
          Math.max(
              largest, Math.abs(served.getOrDefault(workspaceWeight.getKey(), 0) / expected - 1));
    }
    return largest;
  }

  private static QueuedRequest<String> request(
      String workspace, ToIntFunction<String> weight, long deadline) {
    return new QueuedRequest<>(
        workspace, 1, workspace, weight.applyAsInt(workspace), deadline, false);
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
  void limitsTheQueuedRequestsOfOneWorkspace() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(3, 2);
    Predicate<String> offer = name -> queue.offer(new QueuedRequest<>(name, 1, name, 1, 9, false));
    assertTrue(offer.test("a"));
    assertTrue(offer.test("a"));
    assertFalse(offer.test("a"));
    assertTrue(offer.test("b"));
    assertFalse(offer.test("c"));
  }
}
