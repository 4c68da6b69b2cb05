package org.lavenderstage.bench.task;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lavenderstage.bench.policy.EventLoop;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.placement.CellPlanner;

/** Simulates a planner on given jobs, with services that the tasks on their workers slow down. */
final class TaskModel {
  private static final long REPORT_MILLIS = 10_000;
  private static final int REQUESTS_PER_TICK = 4;
  private static final double REQUEST_SPREAD = 0.5;
  private static final double REPORT_NOISE = 0.04;
  private static final double LEARNED_LATENCY_INCREASE = 0.10;
  private static final long LEARNED_FOR_MILLIS = 30_000;

  private final TaskCase taskCase;
  private final HiddenInterference interference;
  private final EventLoop loop = new EventLoop();
  private final TaskStatistics statistics = new TaskStatistics();
  private final List<TaskCell> cells = new ArrayList<>();
  private final Draws requests;
  private final Draws reports;
  private final double[] latencySums = new double[TaskCase.WORKERS];
  private final double[] loadSums = new double[TaskCase.WORKERS];
  private final int[] ticks = new int[TaskCase.WORKERS];
  private int nextJob;
  private long learnedSinceMillis = -1;

  private TaskModel(TaskCase taskCase, Supplier<CellPlanner> planners, long seed) {
    this.taskCase = taskCase;
    this.interference = new HiddenInterference(new Draws(seed, 1), TaskCase.CLASSES);
    this.requests = new Draws(seed, 2);
    this.reports = new Draws(seed, 3);
    for (int c = 0; c < TaskCase.CELLS; c++) {
      cells.add(new TaskCell(taskCase, c, planners.get(), statistics, seed));
    }
  }

  static TaskStatistics run(TaskCase taskCase, Supplier<CellPlanner> planners, long seed) {
    TaskModel model = new TaskModel(taskCase, planners, seed);
    model.scheduleAll();
    model.loop.runUntil(TimeUnit.MILLISECONDS.toNanos(taskCase.durationMillis()));
    for (TaskCell cell : model.cells) {
      cell.finish(taskCase.durationMillis());
    }
    return model.statistics;
  }

  private void scheduleAll() {
    for (ModelJob job : taskCase.jobs()) {
      if (job.cancelMillis() != ModelJob.NEVER) {
        at(job.cancelMillis(), () -> cells.get(job.cell()).cancel(job, nowMillis()));
      }
    }
    at(taskCase.tickMillis(), this::tick);
    for (int w = 0; w < TaskCase.WORKERS; w++) {
      int worker = w;
      at(REPORT_MILLIS + 300L * w, () -> measure(worker));
    }
  }

  private void at(long delayMillis, Runnable action) {
    loop.schedule(TimeUnit.MILLISECONDS.toNanos(delayMillis), action);
  }

  private long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos());
  }

  private void tick() {
    long now = nowMillis();
    for (TaskCell cell : cells) {
      cell.advance(now);
    }
    while (nextJob < taskCase.jobs().size()
        && taskCase.jobs().get(nextJob).arrivalMillis() <= now) {
      ModelJob job = taskCase.jobs().get(nextJob++);
      cells.get(job.cell()).accept(job, now);
    }
    if (taskCase.interferes()) {
      serveRequests(now);
    }
    for (TaskCell cell : cells) {
      cell.plan(now);
    }
    at(taskCase.tickMillis(), this::tick);
  }

  private void serveRequests(long now) {
    double changedPairIncreaseSum = 0;
    int changedWorkers = 0;
    for (int w = 0; w < TaskCase.WORKERS; w++) {
      int service = service(w);
      double[] cores = new double[TaskCase.CLASSES];
      cells.get(w % TaskCase.CELLS).coresByClass(w, now, cores);
      double latencyIncrease = interference.latencyIncrease(service, cores, now);
      double mean = interference.baseMicros(service, now) * (1 + latencyIncrease);
      for (int i = 0; i < REQUESTS_PER_TICK; i++) {
        double draw = REQUEST_SPREAD * requests.gaussian();
        statistics.latencies[service].recordValue((long) (mean * Math.exp(draw)));
      }
      latencySums[w] += mean;
      loadSums[w] += interference.load(service, now);
      ticks[w]++;
      changedPairIncreaseSum += interference.changedPairLatencyIncrease(service, cores, now);
      changedWorkers += interference.isChanged(service) ? 1 : 0;
    }
    checkWhetherLearned(now, changedPairIncreaseSum / changedWorkers);
  }

  /** Returns the service of a worker; services are spread over the workers of every cell. */
  private static int service(int worker) {
    return worker / TaskCase.CELLS % HiddenInterference.SERVICES;
  }

  private void checkWhetherLearned(long now, double meanLatencyIncrease) {
    if (now < HiddenInterference.CHANGE_MILLIS || statistics.learnMillis >= 0) {
      return;
    }
    if (meanLatencyIncrease > LEARNED_LATENCY_INCREASE) {
      learnedSinceMillis = -1;
    } else if (learnedSinceMillis < 0) {
      learnedSinceMillis = now;
    }
    if (learnedSinceMillis >= 0 && now - learnedSinceMillis >= LEARNED_FOR_MILLIS) {
      statistics.learnMillis = learnedSinceMillis - HiddenInterference.CHANGE_MILLIS;
    }
  }

  private void measure(int worker) {
    long now = nowMillis();
    List<ServiceUsage> services = List.of();
    if (ticks[worker] > 0) {
      double noise = 1 + REPORT_NOISE * reports.gaussian();
      String name = "service-" + service(worker);
      double latency = latencySums[worker] / ticks[worker] * noise;
      services = List.of(new ServiceUsage(name, latency, loadSums[worker] / ticks[worker]));
    }
    TaskCell cell = cells.get(worker % TaskCase.CELLS);
    UsageReport report = cell.report(worker, now - REPORT_MILLIS, now, services);
    latencySums[worker] = 0;
    loadSums[worker] = 0;
    ticks[worker] = 0;
    at((long) reports.between(10_000, 30_000), () -> cell.deliver(report));
    at(REPORT_MILLIS, () -> measure(worker));
  }
}
