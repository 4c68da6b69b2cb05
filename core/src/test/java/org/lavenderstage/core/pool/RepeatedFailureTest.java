package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.TaskId;

/** Tasks whose runs fail again and again leave capacity and starts to the others. */
class RepeatedFailureTest {
  private static final long SEED = 1;

  /** Longest time without a run that users accept of a long-running task beside free capacity. */
  private static final long MAX_GAP_MILLIS = 9_000;

  /** Longest time without a run that users accept of a job beside free capacity. */
  private static final long MAX_WAIT_MILLIS = 3_000;

  private static PoolSimulation simulate(int workerCount, int cpuMillis) {
    PoolSimulation simulation = new PoolSimulation(SEED, workerCount);
    simulation.usePlatformDelays();
    for (SimulatedWorker worker : simulation.workers) {
      worker.cpuMillis = cpuMillis;
      worker.longRunningFailureMillis = 10;
    }
    simulation.run(1_000);
    return simulation;
  }

  private static int startCount(PoolSimulation simulation) {
    return simulation.workers.stream().mapToInt(worker -> worker.startCount).sum();
  }

  /** A long-running task that failed at once was started again at once, before all others. */
  @Test
  void longRunningTaskThatFailsAtOnceIsStartedAfterGrowingPauses() {
    PoolSimulation simulation = simulate(12, 8_000);
    simulation.failingTasks = task -> true;
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 400)), 2);
    simulation.run(60_000);
    int starts = startCount(simulation);
    assertTrue(starts <= 60, starts + " starts in a minute");

    simulation.failingTasks = task -> false;
    long fixedAt = simulation.now;
    runUntilActive(simulation, job);
    long waitedMillis = simulation.now - fixedAt;
    assertTrue(waitedMillis < MAX_GAP_MILLIS, () -> "waits " + waitedMillis);
  }

  private static void runUntilActive(PoolSimulation simulation, Job job) {
    TaskId task = new TaskId(job.id(), 0, 0, 0);
    for (int i = 0; i < 1_000 && !simulation.oracle.isRunning(task); i++) {
      simulation.run(10);
    }
    assertTrue(simulation.oracle.isRunning(task));
  }

  /** A task that ran for long before it failed is not paced; its first failures are not either. */
  @Test
  void longRunningTaskThatFailsRarelyIsRestartedAtOnce() {
    PoolSimulation simulation = simulate(12, 8_000);
    simulation.workers.forEach(worker -> worker.longRunningFailureMillis = 5_000);
    simulation.failingTasks = task -> true;
    simulation.submit(List.of(StepBuilder.longRunning(1, 400)), 2);
    simulation.run(60_000);
    int starts = startCount(simulation);
    assertTrue(starts >= 60_000 / 5_500, () -> starts + " starts in a minute");
  }

  /** A failing long-running job went before urgent jobs each time, and occupied the only worker. */
  @Test
  void longRunningTaskThatFailsAgainAndAgainGoesBehindUrgentJobs() {
    PoolSimulation simulation = simulate(1, 1_000);
    simulation.workers.get(0).longRunningFailureMillis = 1_000;
    simulation.failingTasks = task -> task.job().equals("0000000000000001");
    simulation.submit(List.of(StepBuilder.longRunning(1, 1_000)), 2);
    simulation.run(10_000);
    for (int i = 0; i < 10; i++) {
      simulation.submit(List.of(StepBuilder.step(1, 1_000, 300)), 0);
    }
    simulation.run(6_000);
    assertEquals(10, simulation.oracle.doneCount(), () -> String.join("\n", simulation.history));
  }

  /** All workers were quarantined in turn for the failures of jobs that fail on each of them. */
  @Test
  void urgentJobsRunBesideLongRunningJobsThatFailOnAllWorkers() {
    PoolSimulation simulation = simulate(12, 32_000);
    List<String> failing = new ArrayList<>();
    Predicate<TaskId> isFailing = task -> failing.contains(task.job());
    simulation.failingTasks = isFailing;
    for (int i = 0; i < 8; i++) {
      failing.add(simulation.submit(List.of(StepBuilder.longRunning(6, 6_400)), 2).id());
    }
    // From the first failures on, and later, when pauses and quarantines are at their longest.
    simulation.run(200);
    submitUrgentJobs(simulation, 6);
    simulation.run(12_000);
    submitUrgentJobs(simulation, 6);
  }

  /** Too few workers to show that a step fails on several of them. */
  @Test
  @Tag("known-red")
  void urgentJobsRunBesideTwoLongRunningJobsThatFailOnBothWorkersOfAPool() {
    PoolSimulation simulation = simulate(2, 32_000);
    List<String> failing = new ArrayList<>();
    simulation.failingTasks = task -> failing.contains(task.job());
    for (int i = 0; i < 2; i++) {
      failing.add(simulation.submit(List.of(StepBuilder.longRunning(4, 1_000)), 2).id());
    }
    simulation.run(10_000);
    submitUrgentJobs(simulation, 6);
  }

  /** Submits urgent jobs one after another; each has to run and to end in time. */
  private static void submitUrgentJobs(PoolSimulation simulation, int count) {
    for (int i = 0; i < count; i++) {
      Job job = simulation.submit(List.of(StepBuilder.step(6, 2_000, 500)), 0);
      simulation.run(MAX_WAIT_MILLIS);
      assertEquals(
          JobPhase.COMPLETED, job.phase(), () -> job.id() + "\n" + lastLines(simulation.history));
    }
  }

  private static String lastLines(List<String> history) {
    return String.join("\n", history.subList(Math.max(0, history.size() - 200), history.size()));
  }

  /**
   * Faulty workers are free while the others are full. A task that runs into them keeps its rank,
   * and gets the first capacity of a sound worker.
   */
  @Test
  void interruptedTaskThatFailsOnFaultyWorkersGetsTheNextCapacityOfASoundOne() {
    PoolSimulation simulation = simulate(6, 1_000);
    simulation.run(1_000);
    Job job = simulation.submit(List.of(StepBuilder.longRunning(1, 1_000)), 2);
    TaskId task = new TaskId(job.id(), 0, 0, 0);
    runUntilActive(simulation, job);
    SimulatedWorker lost =
        simulation.workers.stream().filter(worker -> worker.runs(task)).findFirst().orElseThrow();
    List<SimulatedWorker> others = new ArrayList<>(simulation.workers);
    others.remove(lost);
    Job occupying = simulation.submit(List.of(StepBuilder.step(5, 1_000, 15_000)), 0);
    simulation.run(1_000);
    // The sound worker runs its task for 15 s; the tasks of the faulty ones fail at once.
    for (SimulatedWorker faulty : others.subList(1, others.size())) {
      faulty.failsAllRuns = true;
      faulty.crash(simulation.now);
      faulty.restart(simulation.now);
    }
    lost.crash(simulation.now);
    for (int i = 0; i < 60; i++) {
      simulation.submit(List.of(StepBuilder.step(1, 1_000, 1_000)), 0);
      simulation.run(250);
    }
    assertTrue(others.get(0).runs(task), () -> occupying.id() + lastLines(simulation.history));
    simulation.run(2_000);
    assertTrue(others.get(0).runs(task));
  }

  /** The worker that is at fault is found though each job fails on it and nowhere else. */
  @Test
  void workerOnWhichTheRunsOfSoundJobsFailIsQuarantined() {
    PoolSimulation simulation = simulate(12, 32_000);
    SimulatedWorker faulty = simulation.workers.get(0);
    faulty.failsAllRuns = true;
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      jobs.add(simulation.submit(List.of(StepBuilder.step(60, 2_000, 500)), 1));
      simulation.run(200);
    }
    simulation.run(20_000);
    long completed = jobs.stream().filter(job -> job.phase() == JobPhase.COMPLETED).count();
    assertEquals(jobs.size(), completed, () -> lastLines(simulation.history));
    String quarantined = "WORKER_QUARANTINED [worker, ";
    assertTrue(
        simulation.history.stream().anyMatch(line -> line.contains(quarantined + faulty.id + ",")));
    assertTrue(
        simulation.history.stream()
            .filter(line -> line.contains(quarantined))
            .allMatch(line -> line.contains(quarantined + faulty.id + ",")));
  }
}
