package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/**
 * Selects the worker for a task: one on which the task is allowed and fits, at the lowest cost to
 * other tasks. Costs are in thousandths of a core.
 */
final class WorkerSelector {
  /** Penalty for a rack that is far from the data; higher than the capacity of any worker. */
  private static final int FAR_RACK_PENALTY = 1_000_000;

  /**
   * Penalty for a worker whose latest run failed or whose latest start was refused; higher than any
   * difference in free capacity.
   */
  private static final int SUSPECT_PENALTY = 500_000;

  /** Cost of raising the utilization of a serving task by 1; the capacity of a large worker. */
  private static final int INTERFERENCE_COST = 60_000;

  /** Cost of placing the first serving task on a worker; higher than the capacity of any worker. */
  private static final int FIRST_SERVING_COST = 100_000;

  /**
   * Cost of placing a second serving image on a worker; higher than that of using another worker.
   */
  private static final int OTHER_IMAGE_COST = 200_000;

  /**
   * Cost of placing an image with low interference on a worker without serving tasks, or one with
   * high interference elsewhere; higher than the capacity of any worker.
   */
  private static final long NON_SERVING_WORKER_COST = 100_000L;

  /**
   * Interference coefficient from which an image is placed on workers without serving tasks; about
   * that of an image whose only interference is its processor use.
   */
  private static final double HIGH_INTERFERENCE = 0.9;

  /** Fraction of the utilization limit of serving tasks that new best-effort tasks leave free. */
  private static final double HEADROOM = 0.08;

  /** Added utilization below which the headroom does not apply to a best-effort task. */
  private static final double LIGHT_UTILIZATION = 0.015;

  /**
   * Cost for a long-running task of using capacity reserved for an interrupted task; higher than
   * the sum of all other costs.
   */
  private static final long RESERVATION_COST = 10_000_000L;

  /** Standard deviations added to the estimated interference. */
  private static final double CAUTION_DEVIATIONS = 1.0;

  private final Reservations reservations;
  private final Map<Worker, Resources> freeAfterShortRunsByWorker = new HashMap<>();

  private final Collection<Worker> workers;
  private final long nowMillis;
  private final Collection<Requirements> unplacedUrgent;
  private final BestEffortInterference interference;
  private Set<String> excludedRacks = Set.of();
  private final Map<Worker, ServingState> servingStates = new HashMap<>();

  /**
   * What the serving tasks of a worker leave to best-effort tasks: the free utilization of the
   * serving task closest to its limit, and the processors expected to be unused, in thousandths of
   * a core.
   */
  private record ServingState(double margin, int unusedCpuMillis, Collection<StepSpec> images) {}

  /**
   * Creates a selector for one scheduling round.
   *
   * @param workers all workers
   * @param interference interference of best-effort tasks with serving tasks
   * @param unplacedUrgent requirements of urgent tasks that recently did not fit on any worker;
   *     long-running tasks leave the last suitable worker to them
   * @param nowMillis monotonic time in milliseconds
   */
  WorkerSelector(
      Collection<Worker> workers,
      BestEffortInterference interference,
      Collection<Requirements> unplacedUrgent,
      long nowMillis) {
    this.workers = workers;
    this.interference = interference;
    this.unplacedUrgent = unplacedUrgent;
    this.nowMillis = nowMillis;
    this.reservations = new Reservations(this, workers, nowMillis);
  }

  /**
   * Searches for the worker with the lowest cost among those on which a task fits.
   *
   * @param overdue whether this is an interrupted task that has waited so long that it may use
   *     capacity reserved for others
   */
  PlacementResult search(Task task, boolean overdue) {
    Worker best = null;
    long minCost = Long.MAX_VALUE;
    int fittingCount = 0;
    long longestRunMillis = -1;
    StepSpec spec = task.step().spec();
    Set<String> usedRacks = spec.sameRack() ? racksOf(task.step()) : Set.of();
    for (Worker worker : workers) {
      Fit fit = fit(worker, task);
      if (fit == Fit.KEPT && !spec.lasting()) {
        longestRunMillis =
            Math.max(longestRunMillis, reservations.fitsAtMillis(worker) - nowMillis);
      }
      if (fit == Fit.FITS) {
        Resources doubleDemand = Worker.demand(spec).plus(Worker.demand(spec));
        fittingCount += doubleDemand.fitsIn(worker.free()) ? 2 : 1;
        long cost = cost(worker, spec, usedRacks);
        cost += reservations.isAvoidedBy(worker, task) ? RESERVATION_COST : 0;
        if (cost < minCost) {
          minCost = cost;
          best = worker;
        }
      }
    }
    if (best == null) {
      Optional<Worker> reserved = overdue ? findReserved(task) : Optional.empty();
      return reserved.isPresent()
          ? new PlacementResult.Found(reserved.get())
          : new PlacementResult.NoRoom(longestRunMillis);
    }
    boolean withheld =
        spec.lasting() && !task.hasBegun() && fittingCount < 2 && fitsUnplacedUrgent(best);
    return withheld ? new PlacementResult.Withheld() : new PlacementResult.Found(best);
  }

  /**
   * Finds a worker on which a best-effort task at full speed would interfere too much: the one
   * where it would interfere least.
   */
  Optional<Worker> findForReducedSpeed(Task task) {
    return workers.stream()
        .filter(worker -> fit(worker, task) == Fit.PRESSES)
        .max(
            Comparator.comparingDouble(worker -> remainingUtilization(task.step().spec(), worker)));
  }

  /**
   * Finds a worker for an interrupted task that fits only where capacity is reserved for others.
   * One such worker is left to them. Of several, users count each as free, so a task must not wait
   * for long beside them; it gets the one whose reserved capacity is complete last.
   */
  private Optional<Worker> findReserved(Task task) {
    List<Worker> reserved =
        workers.stream().filter(worker -> fit(worker, task) == Fit.KEPT).toList();
    return reserved.size() < 2
        ? Optional.empty()
        : reserved.stream().max(Comparator.comparingLong(reservations::fitsAtMillis));
  }

  /**
   * Returns whether an unplaced urgent task fits on a worker, now or once its short runs have
   * ended.
   */
  private boolean fitsUnplacedUrgent(Worker worker) {
    if (unplacedUrgent.isEmpty()) {
      return false;
    }
    Resources available = freeAfterShortRuns(worker);
    WorkerListing listing = worker.listing().orElseThrow();
    return unplacedUrgent.stream()
        .anyMatch(
            requirements ->
                requirements.demand().fitsIn(available) && requirements.permit(listing));
  }

  /** Returns the free capacity of a worker once all its short runs have ended. */
  Resources freeAfterShortRuns(Worker worker) {
    return freeAfterShortRunsByWorker.computeIfAbsent(worker, CapacityForecast::freeAfterShortRuns);
  }

  /** Discards the cached state of a worker whose runs have changed. */
  void invalidate(Worker worker) {
    servingStates.remove(worker);
    freeAfterShortRunsByWorker.remove(worker);
  }

  /**
   * Returns the utilization that a best-effort task would leave free on the serving task closest to
   * its limit; negative if it would exceed the limit.
   */
  private double remainingUtilization(StepSpec bestEffort, Worker worker) {
    ServingState state = servingState(worker);
    double added =
        interference.maxAddedBy(bestEffort, state.images, worker, CAUTION_DEVIATIONS, nowMillis);
    return state.margin - added + (added < LIGHT_UTILIZATION ? HEADROOM : 0);
  }

  private ServingState servingState(Worker worker) {
    return servingStates.computeIfAbsent(worker, this::computeServingState);
  }

  private ServingState computeServingState(Worker worker) {
    Map<String, StepSpec> images = new HashMap<>();
    double unused = worker.idleCpuMillis();
    for (List<Run> runsOfTask : worker.runsByTask()) {
      for (Run run : runsOfTask) {
        JobStep step = run.task().step();
        StepSpec spec = step.spec();
        if (Worker.serves(spec)) {
          images.put(spec.image(), spec);
          unused += spec.cpuMillis() * (1 - interference.baseUtilization(step));
        }
      }
    }
    double margin = interference.margin(worker, HEADROOM, nowMillis);
    return new ServingState(margin, (int) unused, images.values());
  }

  /** Returns the reservations of this round. */
  Reservations reservations() {
    return reservations;
  }

  /** Allows no task on the workers of some racks from now on. */
  void excludeRacks(Set<String> racks) {
    excludedRacks = racks;
  }

  /** Returns whether a task may run on a worker, apart from free capacity. */
  boolean isAllowed(Worker worker, Task task) {
    JobStep step = task.step();
    StepSpec spec = step.spec();
    boolean avoided = task.avoidsSuspects(nowMillis) && worker.history().hasFailureOfOther(step);
    if (!worker.takesRuns(nowMillis) || avoided) {
      return false;
    }
    WorkerListing listing = worker.listing().orElseThrow();
    return !excludedRacks.contains(listing.rack())
        && Requirements.matches(listing, step.job().rules().service(), spec.requiredLabel())
        && (spec.maxPerWorker() == 0 || worker.countOf(step) < spec.maxPerWorker())
        && !hasRunOn(worker, task);
  }

  private static boolean hasRunOn(Worker worker, Task task) {
    for (Run run : task.runs()) {
      if (run.worker().equals(worker.id())) {
        return true;
      }
    }
    return false;
  }

  /** Counts the workers by whether the task fits there and, if not, by the first reason. */
  Map<Fit, Integer> countFits(Task task) {
    Map<Fit, Integer> counts = new EnumMap<>(Fit.class);
    workers.forEach(worker -> counts.merge(fit(worker, task), 1, Integer::sum));
    return counts;
  }

  private Fit fit(Worker worker, Task task) {
    if (!isAllowed(worker, task)) {
      boolean evacuated = !worker.evacuation.allowsRuns(nowMillis);
      return evacuated ? Fit.EVACUATED : worker.isBlocked(nowMillis) ? Fit.PAUSED : Fit.NOT_ALLOWED;
    }
    StepSpec spec = task.step().spec();
    if (!Worker.demand(spec).fitsIn(worker.free())) {
      return Fit.RESERVED;
    }
    if (reservations.isBlocked(worker, task)) {
      return Fit.KEPT;
    }
    if (spec.filling() && servingState(worker).unusedCpuMillis < spec.cpuMillis() / 2) {
      return Fit.BUSY;
    }
    return spec.filling() && remainingUtilization(spec, worker) < 0 ? Fit.PRESSES : Fit.FITS;
  }

  private long cost(Worker worker, StepSpec spec, Set<String> usedRacks) {
    long cost = spec.filling() ? bestEffortCost(worker, spec) : guaranteedCost(worker, spec);
    cost += worker.history().isSuspect() ? SUSPECT_PENALTY : 0;
    String rack = worker.listing().map(WorkerListing::rack).orElse("");
    if (!spec.dataRack().isEmpty() && !spec.dataRack().equals(rack)) {
      cost += FAR_RACK_PENALTY;
    }
    if (!usedRacks.isEmpty() && !usedRacks.contains(rack)) {
      cost += FAR_RACK_PENALTY;
    }
    if (Worker.serves(spec) && !worker.isServing(spec.image())) {
      cost += worker.isServing() ? OTHER_IMAGE_COST : FIRST_SERVING_COST;
    }
    return cost;
  }

  /**
   * Returns the cost of placing a task that is not best-effort. Short tasks are packed onto few
   * workers. Long-running tasks are spread: once they demand more than the capacity, short tasks
   * depend on what is left free on each worker.
   */
  private static long guaranteedCost(Worker worker, StepSpec spec) {
    int freeAfter = worker.free().cpuMillis() - spec.cpuMillis();
    return spec.lasting() ? -freeAfter : Math.max(0, worker.idleCpuMillis() - spec.cpuMillis());
  }

  /**
   * Returns the cost of placing a best-effort task. Workers without serving tasks are left to
   * images with high interference; among the other workers, those with many unused processors and
   * with serving tasks far from their limits are preferred.
   */
  private long bestEffortCost(Worker worker, StepSpec spec) {
    int unused = servingState(worker).unusedCpuMillis;
    if (!worker.isServing()) {
      boolean interferesStrongly = interference.meanCoefficient(spec.image()) >= HIGH_INTERFERENCE;
      return (interferesStrongly ? -NON_SERVING_WORKER_COST : NON_SERVING_WORKER_COST) - unused;
    }
    return -unused - Math.round(INTERFERENCE_COST * remainingUtilization(spec, worker));
  }

  /** Returns the racks of the workers that have runs of a step. */
  private Set<String> racksOf(JobStep step) {
    Set<String> racks = new HashSet<>();
    for (Task task : step.tasks()) {
      for (Run run : task.runs()) {
        workers.stream()
            .filter(worker -> worker.id().equals(run.worker()))
            .flatMap(worker -> worker.listing().stream())
            .forEach(listing -> racks.add(listing.rack()));
      }
    }
    return racks;
  }
}
