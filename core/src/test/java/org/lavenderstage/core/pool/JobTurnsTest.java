package org.lavenderstage.core.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;

/** Which batch jobs get a turn, from what has become of the jobs of their queue. */
class JobTurnsTest {
  private static final long SEED = 3;
  private static final QueueRules RULES = new QueueRules("batch", "service", 2, 3, 2.0, 1_000);
  private static final int SMALL = 1;
  private static final int LARGE = 40;

  /** Steady time of the first submission. */
  private static final long START = 1_000_000;

  private final JobTable table = new JobTable();
  private final JobRanking order = new JobRanking();
  private final List<JobRecord> records = new ArrayList<>();

  private Job submit(int width, long millis, long nowMillis, long clockAhead) {
    String id = String.format("%016x", records.size() + 1);
    List<StepSpec> steps = List.of(StepBuilder.step(width, 1_000, millis));
    JobRecord record = new JobRecord(id, RULES, nowMillis + clockAhead, "payload", steps, 0, 0, 0);
    Job job = table.submit(record, nowMillis);
    job.markStored(JobPhase.ACTIVE);
    order.recordSubmission(record);
    records.add(record);
    return job;
  }

  private void complete(Job job, long wallMillis) {
    job.end(JobPhase.COMPLETED, wallMillis);
    table.changed(job);
  }

  /**
   * Small jobs end one after the other and large ones never; returns the order at the end, in which
   * by gain alone each large job is behind the small one that came last.
   */
  private List<Job> playSmallJobsFirst(long taskMillis, long everyMillis, long clockAhead) {
    List<Job> small = new ArrayList<>();
    List<Job> sorted = List.of();
    long until = START + 3 * taskMillis;
    int next = 0;
    for (long now = START; now < until; now += everyMillis) {
      int number = (int) ((now - START) / everyMillis);
      Job job = submit(number % 10 == 4 ? LARGE : SMALL + number % 3, taskMillis, now, clockAhead);
      if (number % 10 != 4) {
        small.add(job);
      }
      while (next < small.size() && now - small.get(next).receivedAtMillis() >= taskMillis) {
        complete(small.get(next++), now);
      }
      sorted = order.sorted(table, now);
    }
    return sorted;
  }

  private static Job firstLarge(List<Job> sorted) {
    return sorted.stream()
        .filter(job -> job.record().steps().get(0).count() == LARGE)
        .findFirst()
        .orElseThrow();
  }

  private void assertLargeGetsATurn(List<Job> sorted) {
    Job last = table.find(records.get(records.size() - 1).job()).orElseThrow();
    assertTrue(sorted.indexOf(firstLarge(sorted)) < sorted.indexOf(last), sorted::toString);
  }

  @Test
  void aLargeJobGetsATurnWhereSmallOnesAreServed() {
    assertLargeGetsATurn(playSmallJobsFirst(4_000, 250, 0));
  }

  /** Issue 20: jobs that take longer than the window are never counted as served. */
  @Test
  void aLargeJobGetsATurnWhereAllJobsTakeLongerThanHalfAMinute() {
    assertLargeGetsATurn(playSmallJobsFirst(40_000, 500, 0));
  }

  /** Issue 20: the acceptance is by the clock of the entry, the end by that of the owner. */
  @Test
  void aLargeJobGetsATurnThoughTheClockOfTheEntryIsBehind() {
    assertLargeGetsATurn(playSmallJobsFirst(4_000, 250, -60_000));
  }

  /** Issue 20: turns are held in memory, and a job that is late by its estimate gets none anew. */
  @Test
  @Tag("known-red")
  void aJobKeepsItsTurnWhereTheOwnerIsReplaced() {
    Job holder = firstLarge(playSmallJobsFirst(4_000, 250, 0));
    long late = holder.receivedAtMillis() + 6_000;
    Job newcomer = submit(SMALL, 4_000, late, 0);
    List<Job> before = order.sorted(table, late);
    assertTrue(before.indexOf(holder) < before.indexOf(newcomer), "before");
    JobRanking next = new JobRanking();
    records.forEach(next::recordSubmission);
    List<Job> after = next.sorted(table, late);
    assertTrue(after.indexOf(holder) < after.indexOf(newcomer), "after");
  }

  /** Issue 20: of jobs of one size, those that came last count as a size that is passed over. */
  @Test
  void jobsOfOneSizeKeepTheirOrder() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      jobs.add(submit(4, 4_000, START + 50L * i, 0));
    }
    for (Job job : jobs.subList(0, 8)) {
      complete(job, START + 4_000);
    }
    List<Job> sorted = order.sorted(table, START + 4_000);
    assertEquals(jobs.subList(8, 40), sorted);
  }

  private static StepSpec misfit(int count, int cpuMillis, long millis) {
    return StepBuilder.of(count, cpuMillis, millis).requiredLabel("nowhere").build();
  }

  /** Plays small jobs with large ones; returns the shares of each that are served. */
  private static double[] shares(
      int priority,
      int every,
      int largeEvery,
      long millis,
      StepSpec large,
      List<StepSpec> misfits) {
    PoolSimulation simulation = new PoolSimulation(SEED, 2);
    simulation.run(500);
    List<Job> all = new ArrayList<>();
    List<Job> largest = new ArrayList<>();
    int number = 0;
    for (long t = 0; t < 60_000; t += every) {
      Job job;
      if (number % largeEvery == largeEvery - 1) {
        job = simulation.submit(List.of(large), priority);
        if (t < 35_000) {
          largest.add(job);
        }
      } else if (!misfits.isEmpty() && number % largeEvery == largeEvery / 2) {
        simulation.submit(misfits, priority);
        job = null;
      } else {
        job = simulation.submit(List.of(StepBuilder.step(1 + number % 3, 1_000, millis)), priority);
      }
      if (job != null && t < 35_000) {
        all.add(job);
      }
      number++;
      simulation.run(every);
    }
    return new double[] {served(all), served(largest)};
  }

  private static double served(List<Job> jobs) {
    long done =
        jobs.stream()
            .filter(job -> job.phase() == JobPhase.COMPLETED)
            .filter(
                job ->
                    job.endedAtMillis() - job.receivedAtMillis()
                        <= JobRanking.earningMillis(job.record()))
            .count();
    return (double) done / jobs.size();
  }

  private static void assertHalf(double[] shares) {
    assertTrue(shares[1] >= shares[0] / 2, "all: " + shares[0] + ", large: " + shares[1]);
  }

  @Test
  void largeJobsAreServedHalfAsOftenAsAll() {
    assertHalf(shares(2, 250, 10, 5_000, StepBuilder.step(8, 1_000, 5_000), List.of()));
  }

  /** Guards the others: jobs that fit nowhere hold turns until they earn nothing. */
  @Test
  void largeJobsAreServedHalfAsOftenAsAllBesideOnesThatFitNowhere() {
    StepSpec large = StepBuilder.step(8, 1_000, 5_000);
    assertHalf(shares(2, 250, 10, 5_000, large, List.of(misfit(8, 1_000, 5_000))));
  }

  /** Issue 20: urgent jobs have no turns; a wide one is late by its estimate and goes last. */
  @Test
  @Tag("known-red")
  void largeUrgentJobsAreServedHalfAsOftenAsAllWhereMoreComesThanFits() {
    assertHalf(shares(0, 100, 10, 500, StepBuilder.step(16, 1_000, 1_000), List.of()));
  }

  /** Issue 20: a later occurrence is as old as its job, and so goes behind everything. */
  @Test
  @Tag("known-red")
  void aLaterOccurrenceOfATimedJobGetsItsTurn() {
    PoolSimulation simulation = new PoolSimulation(SEED, 1);
    simulation.run(500);
    Job timed = simulation.submitRepeated(List.of(StepBuilder.step(1, 1_000, 500)), 2, 2, 15_000);
    for (int i = 0; i < 525; i++) {
      simulation.submit(List.of(StepBuilder.step(1, 1_000, 400)), 2);
      simulation.run(40);
    }
    assertEquals(JobPhase.COMPLETED, timed.phase(), timed.progress().toString());
  }
}
