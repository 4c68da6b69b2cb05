package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.TaskId;

/**
 * Simulates two workers whose later incarnations carry out delayed orders, also while they are
 * disconnected. All orders are answered unless a test decides otherwise.
 */
abstract class LateOrderScenario {
  private static final long SEED = 1;

  /** Time for a start after the last reason to wait has ended, in milliseconds. */
  static final long START_MILLIS = 1_500;

  /** Duration of tasks that outlast each test, in milliseconds. */
  static final long TASK_MILLIS = 200_000;

  static final PoolTiming TIMING =
      new PoolTiming(SimulatedWorker.LEASE_MILLIS, SimulatedWorker.LEASE_MILLIS, 300, 2_500);

  final PoolSimulation simulation = new PoolSimulation(SEED, 2);

  /** Starts that were sent, in order. */
  final List<Order.Start> sentStarts = new ArrayList<>();

  LateOrderScenario() {
    simulation.usePlatformDelays();
    simulation.delayedOrdersReachOtherIncarnations = true;
    simulation.delayedOrdersIgnoreDisconnection = true;
    simulation.outcomes = this::answer;
    simulation.run(3_000);
  }

  final Optional<PoolSimulation.OrderOutcome> answer(Order order) {
    if (order instanceof Order.Start start) {
      sentStarts.add(start);
    }
    return PoolSimulation.OrderOutcome.answered();
  }

  /** Determines the outcome of the next start, and lets all other orders be answered. */
  final void treatNextStart(Optional<PoolSimulation.OrderOutcome> outcome) {
    int sentBefore = sentStarts.size();
    simulation.outcomes =
        order -> {
          Optional<PoolSimulation.OrderOutcome> answered = answer(order);
          boolean next = order instanceof Order.Start && sentStarts.size() == sentBefore + 1;
          return next ? outcome : answered;
        };
  }

  /** Delays the next start, and lets all other orders be answered. */
  final void delayNextStart(long millis) {
    treatNextStart(PoolSimulation.OrderOutcome.delayed(millis));
  }

  static TaskId taskOf(Job job) {
    return new TaskId(job.id(), 0, 0, 0);
  }

  final void restart(SimulatedWorker worker) {
    worker.crash(simulation.now);
    worker.restart(simulation.now);
  }

  final void runUntil(BooleanSupplier condition, long maxMillis) {
    long until = simulation.now + maxMillis;
    while (!condition.getAsBoolean() && simulation.now < until) {
      simulation.run(10);
    }
    assertTrue(condition.getAsBoolean(), () -> "not within " + maxMillis + " ms\n" + describe());
  }

  /** Runs until a start is sent and returns its worker. */
  final SimulatedWorker runUntilStartIsSent() {
    int sentBefore = sentStarts.size();
    runUntil(() -> sentStarts.size() > sentBefore, 1_000);
    String id = sentStarts.get(sentBefore).worker().id();
    return simulation.workers.stream().filter(w -> w.id.equals(id)).findFirst().orElseThrow();
  }

  final void assertNoViolations() {
    assertEquals(List.of(), simulation.oracle.violations, this::describe);
  }

  private String describe() {
    return simulation.describeViolations() + "\n\n" + String.join("\n", simulation.history);
  }
}
