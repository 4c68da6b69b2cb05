package org.lavenderstage.core.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.routing.RoutingPolicy.AttemptOutcome;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotShares;
import org.lavenderstage.core.routing.SlotTiming;

/**
 * Tests that every request is answered exactly once, also when the scheduler is drained, and that a
 * request that may have run is sent again only if it is idempotent.
 */
class RequestSchedulerFuzzTest {
  private static final long MILLIS = 1_000_000;
  private static final int STEPS = 300;
  private static final int MAX_ATTEMPTS = 3;
  private static final List<AttemptOutcome> OUTCOMES =
      List.of(AttemptOutcome.ANSWERED, AttemptOutcome.NOT_STARTED, AttemptOutcome.LOST);

  @Property(seed = "1", tries = 200)
  void answersEachRequestOnceAndRetriesOnlyWhatMayRunTwice(@ForAll long seed) {
    assertTrue(new Run(seed, false).isCorrect());
  }

  @Tag("fresh")
  @Property(tries = 500)
  void answersEachRequestOnceUnderFreshSeeds(@ForAll long seed) {
    assertTrue(new Run(seed, false).isCorrect());
  }

  @Test
  void detectsACallerThatRetriesLostRequests() {
    boolean allCorrect = true;
    for (int seed = 0; seed < 20; seed++) {
      allCorrect &= new Run(seed, true).isCorrect();
    }
    assertFalse(allCorrect);
  }

  /** A random sequence of arrivals, ended attempts and expiries, followed by a drain. */
  private static final class Run {
    private final Random random;
    private final boolean retriesAll;
    private final SlotShares shares =
        new SlotShares(
            "vm", "vm-1", 8, new SlotTiming(9_000 * MILLIS, 5_000 * MILLIS, MILLIS, 0), 0);
    private final SharedSlotsPolicy policy = new SharedSlotsPolicy(shares, 200 * MILLIS);
    private final RequestScheduler<Integer> scheduler =
        new RequestScheduler<>(policy, new AdmissionControl<>(40, 20));
    private final List<PlacedRequest<Integer>> sent = new ArrayList<>();
    private final Map<Integer, Integer> answers = new HashMap<>();
    private final Map<Integer, Integer> attempts = new HashMap<>();
    private final Set<Integer> mayHaveRun = new HashSet<>();
    private boolean correct = true;
    private int count;
    private long now;

    Run(long seed, boolean retriesAll) {
      this.random = new Random(seed);
      this.retriesAll = retriesAll;
    }

    boolean isCorrect() {
      for (int i = 0; i < STEPS; i++) {
        tick();
        switch (random.nextInt(3)) {
          case 0 -> arrive();
          case 1 -> endOne();
          default -> serve();
        }
      }
      while (scheduler.size() + sent.size() > 0) {
        tick();
        serve();
        endOne();
      }
      return correct && answers.size() == count;
    }

    private void tick() {
      now += random.nextInt(20) * MILLIS;
      List<String> executors = List.of("x1", "x2");
      shares.updateVms(List.of("vm"), executors, now);
      policy.setExecutors(executors);
      shares.step(now);
      for (QueuedRequest<Integer> expired : scheduler.removeExpired(now)) {
        answer(expired.item());
      }
    }

    private void arrive() {
      int id = count++;
      long deadline = now + (50 + random.nextInt(400)) * MILLIS;
      QueuedRequest<Integer> request =
          new QueuedRequest<>(id, 1 + id % 2, "w" + id % 3, 1, deadline, id % 5 == 0);
      if (scheduler.submit(request, now) instanceof AdmissionDecision.Refused) {
        answer(id);
      }
    }

    private void serve() {
      Optional<PlacedRequest<Integer>> next = scheduler.placeNext(now);
      while (next.isPresent()) {
        int id = next.get().request().item();
        correct &= isIdempotent(id) || !mayHaveRun.contains(id);
        attempts.merge(id, 1, Integer::sum);
        sent.add(next.get());
        next = scheduler.placeNext(now);
      }
    }

    private static boolean isIdempotent(int id) {
      return id % 2 == 0;
    }

    private void endOne() {
      if (sent.isEmpty()) {
        return;
      }
      PlacedRequest<Integer> placed = sent.remove(random.nextInt(sent.size()));
      AttemptOutcome outcome = OUTCOMES.get(random.nextInt(OUTCOMES.size()));
      int id = placed.request().item();
      if (outcome != AttemptOutcome.NOT_STARTED) {
        mayHaveRun.add(id);
      }
      boolean mayRetry =
          attempts.get(id) < MAX_ATTEMPTS
              && (outcome == AttemptOutcome.NOT_STARTED || isIdempotent(id) || retriesAll);
      if (!scheduler.attemptEnded(placed, outcome, mayRetry, now)) {
        answer(id);
      }
    }

    private void answer(int id) {
      correct &= answers.merge(id, 1, Integer::sum) == 1;
    }
  }
}
