package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/** The attempts of a task rise from owner to owner, however many each of them gives. */
class AttemptNumberTest {
  private static final long SEED = 1;

  /** Number of attempts that belong to a term. */
  private static final int ATTEMPTS_PER_TERM = 1_000;

  /** Time after a fault until a long-running task has to run, in milliseconds; from the rules. */
  private static final long MAX_RECOVERY_MILLIS = 14_000 + 6_000 + 3_000;

  private static final Pattern ORDERED =
      Pattern.compile("RUN_ORDERED \\[task, (\\S+), attempt, (\\d+),");

  private static PoolSimulation simulate() {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.usePlatformDelays();
    simulation.workers.forEach(worker -> worker.longRunningFailureMillis = 10);
    simulation.run(1_000);
    return simulation;
  }

  /** Returns the attempts of a task in the order in which they were given. */
  private static List<Long> attempts(PoolSimulation simulation, TaskId task) {
    List<Long> attempts = new ArrayList<>();
    for (String line : simulation.history) {
      Matcher ordered = ORDERED.matcher(line);
      if (ordered.find() && ordered.group(1).equals(task.toString())) {
        attempts.add(Long.parseLong(ordered.group(2)));
      }
    }
    return attempts;
  }

  private static void assertRising(List<Long> attempts) {
    for (int i = 1; i < attempts.size(); i++) {
      assertTrue(
          attempts.get(i) > attempts.get(i - 1),
          attempts.get(i) + " is given after " + attempts.get(i - 1));
    }
  }

  /** Lets the workers reject starts until a task has been given some attempts. */
  private static void rejectStarts(PoolSimulation simulation, TaskId task, int count) {
    simulation.workers.forEach(worker -> worker.unaccountedCpuMillis = worker.cpuMillis);
    for (int i = 0; i < 400 && attempts(simulation, task).size() < count; i++) {
      simulation.run(1_000);
    }
    assertTrue(attempts(simulation, task).size() >= count);
    simulation.workers.forEach(worker -> worker.unaccountedCpuMillis = 0);
  }

  /** The next owner began below, and each of its starts was rejected as outdated, for minutes. */
  @Test
  void nextOwnerStartsATaskAboveTheAttemptsOfAnOwnerThatGaveMoreThanThoseOfItsTerm() {
    PoolSimulation simulation = simulate();
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 400)), 2);
    TaskId task = new TaskId(job.id(), 0, 0, 0);
    simulation.failingTasks = any -> true;
    rejectStarts(simulation, task, ATTEMPTS_PER_TERM);
    simulation.run(200_000);
    simulation.failingTasks = any -> false;
    simulation.run(10_000);
    assertTrue(simulation.oracle.isRunning(task), "the task works again");

    SimulatedWorker lost =
        simulation.workers.stream().filter(worker -> worker.runs(task)).findFirst().orElseThrow();
    lost.crash(simulation.now);
    simulation.replaceOwner();
    long faultAt = simulation.now;
    while (!simulation.oracle.isRunning(task) && simulation.now < faultAt + MAX_RECOVERY_MILLIS) {
      simulation.run(10);
    }
    assertRising(attempts(simulation, task));
    assertTrue(simulation.oracle.isRunning(task), "the task runs under the next owner");
    assertEquals(List.of(), simulation.oracle.violations, simulation::describeViolations);
  }

  /** All members of a gang share an attempt, so that the reservation holds for each of them. */
  @Test
  void attemptsOfAGangRiseFromOwnerToOwner() {
    PoolSimulation simulation = simulate();
    StepSpec gang = StepBuilder.of(2, 400, 500).gang().build();
    Job job = simulation.submit(List.of(gang), 2);
    TaskId task = new TaskId(job.id(), 0, 0, 1);
    for (int i = 1; i <= 3; i++) {
      rejectStarts(simulation, task, i * (ATTEMPTS_PER_TERM + 100));
      simulation.replaceOwner();
    }
    simulation.run(30_000);
    assertRising(attempts(simulation, task));
    assertTrue(simulation.oracle.isDone(task));
  }

  /** A later owner would not know of attempts that were given before their reservation. */
  @Test
  void noAttemptIsGivenBeyondThoseOfTheTermBeforeItsReservationIsStored() {
    PoolSimulation simulation = simulate();
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 400)), 2);
    TaskId task = new TaskId(job.id(), 0, 0, 0);
    simulation.workers.forEach(worker -> worker.unaccountedCpuMillis = worker.cpuMillis);
    simulation.run(1_000);
    simulation.storeDown = true;
    simulation.run(300_000);
    List<Long> given = attempts(simulation, task);
    assertEquals(ATTEMPTS_PER_TERM, given.get(given.size() - 1));

    simulation.storeDown = false;
    simulation.run(10_000);
    assertTrue(attempts(simulation, task).size() > given.size());
    assertRising(attempts(simulation, task));
  }

  /** The scheduler of such a term could not be created. */
  @Test
  void attemptsOfAHighTermAreInItsRange() {
    long term = 5_000_000;
    JobScheduler owner =
        new JobScheduler(
            term, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 1_000);
    long now = 10_000;
    owner.submit(
        new JobRecord(
            "00000000000000aa", rules, now, "x", List.of(StepBuilder.step(1, 1_000, 500)), 0, 0, 0),
        now);
    owner.workerListed(new SimulatedWorker(0, 1, new TaskOracle()).listing());
    List<Order> orders = new ArrayList<>();
    for (int i = 0; i < 100 && orders.stream().noneMatch(Order.Start.class::isInstance); i++) {
      now += 20;
      orders.clear();
      orders.addAll(owner.step(now, now));
      orders.addAll(owner.placeTasks(now, now));
      for (Order order : List.copyOf(orders)) {
        if (order instanceof Order.Poll) {
          WorkerReport report = new WorkerReport(now, 1, List.of(), List.of());
          owner.orderCompleted(order, new OrderResult.Reported(report), now, now);
        }
      }
      long storedAt = now;
      owner.drainChanges(now, 0).ifPresent(batch -> owner.batchStored(batch, storedAt));
    }
    List<Order> starts = orders.stream().filter(Order.Start.class::isInstance).toList();
    assertFalse(starts.isEmpty());
    assertEquals((term - 1) * ATTEMPTS_PER_TERM + 1, ((Order.Start) starts.get(0)).run().attempt());
  }
}
