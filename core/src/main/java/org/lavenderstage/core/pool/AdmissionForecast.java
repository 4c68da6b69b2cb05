package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobEstimate;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;

/**
 * Predicts how long a new job would wait, from the capacity of its service, the accepted work that
 * ranks before it, and the rate at which such work comes. The figures are renewed a few times a
 * second, so that a prediction costs two or three binary searches.
 */
final class AdmissionForecast {
  /** Time between two updates, in milliseconds; short compared to the run time of a task. */
  private static final long UPDATE_INTERVAL_MILLIS = 250;

  /**
   * Age up to which figures are used, in milliseconds; twice the longest pause between scheduling
   * rounds. They are not renewed while the owner gives no orders.
   */
  private static final long MAX_AGE_MILLIS = 2_000;

  /**
   * Time over which demand is averaged to tell a lasting excess from a burst, in milliseconds. What
   * a shorter burst leaves is worked off before most deadlines.
   */
  private static final long SUSTAINED_WINDOW_MILLIS = 30_000;

  /** Time over which demand is averaged to see that an excess has ended, in milliseconds. */
  private static final long RECENT_WINDOW_MILLIS = 5_000;

  /** Fraction of the listed capacity whose workers must have reported before any prediction. */
  private static final double MIN_REPORTED_FRACTION = 0.9;

  /**
   * Capacity that counts as available, as a multiple of the known one: estimates are rough, and
   * tasks of lower rank use what those of higher rank do not fit into.
   */
  private static final double OPTIMISM = 1.25;

  /** Least fraction of the capacity that the expected wait counts as not taken by new work. */
  private static final double MIN_SPARE_FRACTION = 0.1;

  private final JobRanking ranking;
  private final RunTimes runTimes;
  private final Deque<Arrival> arrivals = new ArrayDeque<>();
  private final Map<CapacityKind, Double> averageCores = new HashMap<>();
  private Map<CapacityKind, Figures> figuresByKind = Map.of();
  private long nextUpdateMillis = Long.MIN_VALUE;

  /** An accepted job; the time is monotonic. */
  private record Arrival(long atMillis, JobDemand demand) {}

  /**
   * The figures of one kind of capacity.
   *
   * @param cores capacity that is not held by long-running tasks, now or on average
   * @param runTimeRatio actual run times as a multiple of the declared ones
   * @param backlog accepted work that is not done
   * @param recent work that was accepted in the recent window
   * @param sustained work that was accepted in the long window
   */
  private record Figures(
      double cores,
      double runTimeRatio,
      WorkAhead backlog,
      WorkAhead recent,
      WorkAhead sustained) {}

  /**
   * A prediction for one job.
   *
   * @param capacityCores capacity that the job waits for
   * @param demandCores rate at which work comes that will rank before it
   * @param workAheadCoreMillis accepted work that ranks before it
   * @param shortestEndMillis time until the job ends if all goes well; infinite if there is always
   *     work before it
   * @param expectedWaitMillis time until the accepted work before it is done
   * @param workCoreMillis work of the job
   */
  record Prediction(
      double capacityCores,
      double demandCores,
      double workAheadCoreMillis,
      double shortestEndMillis,
      double expectedWaitMillis,
      double workCoreMillis) {}

  AdmissionForecast(JobRanking ranking, RunTimes runTimes) {
    this.ranking = ranking;
    this.runTimes = runTimes;
  }

  /** Records an accepted job, which may have been accepted under a previous owner. */
  void recordAccepted(JobRecord job, long acceptedMillis, long nowMillis) {
    if (job.repeatCount() == 0 && nowMillis - acceptedMillis < SUSTAINED_WINDOW_MILLIS) {
      arrivals.add(new Arrival(acceptedMillis, JobDemand.of(job, ranking)));
    }
    while (!arrivals.isEmpty()
        && nowMillis - arrivals.peek().atMillis() >= SUSTAINED_WINDOW_MILLIS) {
      arrivals.remove();
    }
  }

  /** Renews the figures if that is due. */
  void update(JobTable jobs, WorkerTable workers, long nowMillis) {
    if (nowMillis < nextUpdateMillis) {
      return;
    }
    nextUpdateMillis = nowMillis + UPDATE_INTERVAL_MILLIS;
    List<JobDemand> backlog = new ArrayList<>();
    for (Job job : jobs.active()) {
      if (ranking.isOnTime(job, nowMillis)) {
        backlog.add(JobDemand.remaining(job, ranking));
      }
    }
    Map<CapacityKind, Figures> next = new HashMap<>();
    capacityByService(workers, nowMillis)
        .forEach(
            (service, capacity) -> {
              for (CapacityKind kind :
                  List.of(new CapacityKind(service, false), new CapacityKind(service, true))) {
                next.put(kind, figures(kind, capacity.cores(kind), backlog, nowMillis));
              }
            });
    figuresByKind = next;
  }

  private Figures figures(
      CapacityKind kind, double cores, List<JobDemand> backlog, long nowMillis) {
    // Workers that are lost are mostly back, or replaced, before the jobs' deadlines.
    double weight = (double) UPDATE_INTERVAL_MILLIS / SUSTAINED_WINDOW_MILLIS;
    double average =
        averageCores.merge(kind, cores, (before, now) -> before + weight * (now - before));
    return new Figures(
        Math.max(cores, average),
        runTimes.ratio(kind),
        workAhead(kind, backlog),
        workAhead(kind, acceptedSince(nowMillis - RECENT_WINDOW_MILLIS)),
        workAhead(kind, acceptedSince(nowMillis - SUSTAINED_WINDOW_MILLIS)));
  }

  private List<JobDemand> acceptedSince(long sinceMillis) {
    return arrivals.stream()
        .filter(arrival -> arrival.atMillis() > sinceMillis)
        .map(Arrival::demand)
        .toList();
  }

  private static WorkAhead workAhead(CapacityKind kind, List<JobDemand> demands) {
    return new WorkAhead(
        demands.stream()
            .filter(demand -> demand.service().equals(kind.service()))
            .map(demand -> demand.part(kind))
            .toList());
  }

  /** Processors of the usable workers of a service, in thousandths of a core. */
  private static final class Capacity {
    private double total;
    private double longRunning;
    private double longRunningInUse;

    private void add(Worker worker) {
      total += worker.capacityCpuMillis();
      for (List<Run> runsOfTask : worker.runsByTask()) {
        for (Run run : runsOfTask) {
          StepSpec spec = run.task().step().spec();
          if (spec.lasting() && !spec.filling()) {
            longRunning += spec.cpuMillis();
            longRunningInUse +=
                spec.cpuMillis() * (Worker.serves(spec) ? Run.ASSUMED_UTILIZATION : 1);
          }
        }
      }
    }

    private double cores(CapacityKind kind) {
      return Math.max(0, total - (kind.bestEffort() ? longRunningInUse : longRunning)) / 1_000;
    }
  }

  /** Returns the capacity of each service most of whose workers have reported to this owner. */
  private static Map<String, Capacity> capacityByService(WorkerTable workers, long nowMillis) {
    Map<String, Capacity> known = new HashMap<>();
    Map<String, Double> unreported = new HashMap<>();
    for (Worker worker : workers.all()) {
      if (worker.listing().isEmpty()
          || worker.listing().get().draining()
          || !worker.evacuation.allowsRuns(nowMillis)) {
        continue;
      }
      String service = worker.listing().get().service();
      if (!worker.hasReported()) {
        unreported.merge(service, (double) worker.capacityCpuMillis(), Double::sum);
      }
      if (!worker.isUnresponsive() || !worker.hasReported()) {
        known.computeIfAbsent(service, key -> new Capacity()).add(worker);
      }
    }
    Set<String> unknown = new HashSet<>();
    known.forEach(
        (service, capacity) -> {
          double missing = unreported.getOrDefault(service, 0.0);
          if (missing > (1 - MIN_REPORTED_FRACTION) * capacity.total) {
            unknown.add(service);
          }
        });
    known.keySet().removeAll(unknown);
    return known;
  }

  /** Predicts the wait of a new job, empty where too little is known. */
  Optional<Prediction> predict(JobRecord job, long nowMillis) {
    Optional<Figures> known = CapacityKind.of(job).map(figuresByKind::get);
    boolean outdated = nowMillis > nextUpdateMillis - UPDATE_INTERVAL_MILLIS + MAX_AGE_MILLIS;
    if (known.isEmpty() || known.get().cores() <= 0 || outdated) {
      return Optional.empty();
    }
    Figures figures = known.get();
    int priority = job.rules().priority();
    // Urgent jobs go by their deadlines, so that later ones rank behind this one.
    boolean urgent = priority == 0;
    JobEstimate estimate = JobEstimate.of(job);
    double density = urgent ? 0 : ranking.valueDensity(job, estimate.workCoreMillis());
    double demand =
        urgent
            ? 0
            : figures.runTimeRatio()
                * Math.min(
                    figures.recent().before(priority, density) / RECENT_WINDOW_MILLIS,
                    figures.sustained().before(priority, density) / SUSTAINED_WINDOW_MILLIS);
    double ahead = figures.runTimeRatio() * figures.backlog().before(priority, density);
    double work = figures.runTimeRatio() * estimate.workCoreMillis();
    double spare = OPTIMISM * figures.cores() - demand;
    double shortestEnd = spare > 0 ? (ahead + work) / spare : Double.POSITIVE_INFINITY;
    double expectedSpare = Math.max(figures.cores() - demand, MIN_SPARE_FRACTION * figures.cores());
    return Optional.of(
        new Prediction(figures.cores(), demand, ahead, shortestEnd, ahead / expectedSpare, work));
  }
}
