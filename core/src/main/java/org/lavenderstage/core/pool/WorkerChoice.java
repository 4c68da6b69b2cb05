package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepRun;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/** Chooses the worker for a task: where it may run, where it fits, and where it disturbs least. */
final class WorkerChoice {
  /**
   * Penalty in thousandths of a core for a rack that is far from the data; more than any worker.
   */
  private static final int FAR_RACK_PENALTY = 1_000_000;

  /** Penalty for a worker whose latest run failed; larger than any difference in room. */
  private static final int SUSPECT_PENALTY = 500_000;

  /** Cost of a whole utilization that a filling task takes from serving ones; a large worker's. */
  private static final int PRESSURE_COST = 60_000;

  /** Cost of the first task that serves users on a worker; more than any worker has cores. */
  private static final int FIRST_SERVING_COST = 100_000;

  /**
   * Cost of taking a worker without serving tasks from the images that press, or of not using it
   * for one that does; more than any worker has cores.
   */
  private static final long QUIET_WORKER_COST = 100_000L;

  /** Pressure from which an image is worth a worker of its own; about that of its processors. */
  private static final double HEAVY_PRESSURE = 0.9;

  /** Part of the limits of serving tasks that new filling tasks leave free. */
  private static final double HEADROOM = 0.05;

  /** Utilization up to which a filling task is too light for the headroom to matter. */
  private static final double LIGHT = 0.015;

  /** Standard deviations by which a pressure may be higher than believed. */
  private static final double CAUTION = 1.0;

  /** Largest part of the workers on which room is kept. */
  private static final double KEPT_SHARE = 0.25;

  /** Room that is kept for a task that fits nowhere. */
  private record KeptRoom(Resources room, boolean forInterrupted) {}

  private final Map<Worker, KeptRoom> kept = new HashMap<>();
  private final Map<Worker, Resources> roomSoon = new HashMap<>();

  private final Collection<Worker> workers;
  private final long steadyMillis;
  private final boolean sparing;
  private final FillPressure pressure;
  private final Map<Worker, ServingState> servingStates = new HashMap<>();

  /**
   * What the serving tasks of a worker leave to filling ones: utilization on the tightest of them,
   * and processors that nothing is expected to use.
   */
  private record ServingState(double margin, int unusedCpuMillis, Collection<StepSpec> images) {}

  /**
   * Makes a choice for one round of placement.
   *
   * @param workers all workers
   * @param pressure what fillers press on serving tasks
   * @param sparing whether urgent tasks lack room, so that lasting ones leave them the last place
   * @param steadyMillis steady time
   */
  WorkerChoice(
      Collection<Worker> workers, FillPressure pressure, boolean sparing, long steadyMillis) {
    this.workers = workers;
    this.pressure = pressure;
    this.sparing = sparing;
    this.steadyMillis = steadyMillis;
  }

  /** Looks for the best worker that has room. */
  PlaceSearch search(Task task) {
    Worker best = null;
    long least = Long.MAX_VALUE;
    int places = 0;
    StepSpec spec = task.step().spec();
    for (Worker worker : workers) {
      if (isAllowed(worker, task) && fits(worker, task)) {
        Resources twice = Worker.demand(spec).plus(Worker.demand(spec));
        places += twice.fitsIn(worker.free()) ? 2 : 1;
        long cost = cost(worker, task.step());
        if (cost < least) {
          least = cost;
          best = worker;
        }
      }
    }
    if (best == null) {
      return new PlaceSearch.NoRoom();
    }
    boolean spared = sparing && spec.lasting() && !task.mayHaveRun() && places < 2;
    return spared ? new PlaceSearch.Withheld() : new PlaceSearch.Found(best);
  }

  /** Notes that a run was added to a worker. */
  void placedOn(Worker worker) {
    servingStates.remove(worker);
    roomSoon.remove(worker);
  }

  /** Returns the utilization that a filling task would leave free on the tightest serving task. */
  private double leftFor(StepSpec filling, Worker worker) {
    ServingState state = servingState(worker);
    double added = pressure.mostAdded(filling, state.images, worker, CAUTION, steadyMillis);
    return state.margin - added + (added < LIGHT ? HEADROOM : 0);
  }

  private ServingState servingState(Worker worker) {
    return servingStates.computeIfAbsent(worker, this::newServingState);
  }

  private ServingState newServingState(Worker worker) {
    Map<String, StepSpec> images = new HashMap<>();
    double unused = worker.idleCpuMillis();
    for (Run run : worker.runs()) {
      StepRun step = run.task().step();
      StepSpec spec = step.spec();
      if (Worker.serves(spec)) {
        images.put(spec.image(), spec);
        unused += spec.cpuMillis() * (1 - pressure.ownUtilization(step));
      }
    }
    double margin = pressure.margin(worker, HEADROOM, steadyMillis);
    return new ServingState(margin, (int) unused, images.values());
  }

  /**
   * Keeps the worker that has most room, among those that have enough once their short tasks end,
   * for a task that fits nowhere yet: one for each interrupted task, as far as there are, and one
   * for the first of the others. Less needed tasks get there only what the task leaves.
   *
   * @return whether any worker will have enough
   */
  boolean keepPlaceFor(Task task) {
    boolean interrupted = task.isInterrupted(steadyMillis);
    boolean served = !interrupted && kept.values().stream().anyMatch(k -> !k.forInterrupted());
    if (served) {
      return true;
    }
    Resources demand = Worker.demand(task.step().spec());
    Optional<Worker> roomiest =
        workers.stream()
            .filter(worker -> !kept.containsKey(worker) && isAllowed(worker, task))
            .filter(worker -> demand.fitsIn(roomSoon.computeIfAbsent(worker, Worker::roomSoon)))
            .max(Comparator.comparingInt(worker -> worker.free().cpuMillis()));
    if (kept.size() < Math.max(1, Math.round(KEPT_SHARE * workers.size()))) {
      roomiest.ifPresent(worker -> kept.put(worker, new KeptRoom(demand, interrupted)));
    }
    return roomiest.isPresent();
  }

  /** Everything but room. */
  boolean isAllowed(Worker worker, Task task) {
    StepRun step = task.step();
    StepSpec spec = step.spec();
    if (!worker.takesRuns(steadyMillis)) {
      return false;
    }
    WorkerListing listing = worker.listing().orElseThrow();
    return listing.service().equals(step.job().rules().service())
        && (spec.requiredLabel().isEmpty() || listing.labels().contains(spec.requiredLabel()))
        && (spec.maxPerWorker() == 0 || worker.countOf(step) < spec.maxPerWorker())
        && task.runs().stream().noneMatch(run -> run.worker().equals(worker.id()));
  }

  private boolean fits(Worker worker, Task task) {
    StepSpec spec = task.step().spec();
    Resources demand = Worker.demand(spec);
    if (!demand.fitsIn(worker.free()) || takesKept(worker, task)) {
      return false;
    }
    return !spec.filling()
        || (servingState(worker).unusedCpuMillis >= spec.cpuMillis() / 2
            && leftFor(spec, worker) >= 0);
  }

  /**
   * Tells whether a task would take room that is kept. Where there is room for it twice over, it
   * may have it: no lasting task waits beside that much. Against an interrupted task this holds for
   * others that are interrupted only, or smaller ones would use up each piece before it is large
   * enough.
   */
  private boolean takesKept(Worker worker, Task task) {
    StepSpec spec = task.step().spec();
    KeptRoom keptRoom = kept.get(worker);
    if (keptRoom == null || spec.filling()) {
      return false;
    }
    Resources demand = Worker.demand(spec);
    boolean mayShare = !keptRoom.forInterrupted() || task.isInterrupted(steadyMillis);
    return !demand.plus(keptRoom.room()).fitsIn(worker.free())
        && !(mayShare && demand.plus(demand).fitsIn(worker.free()));
  }

  private long cost(Worker worker, StepRun step) {
    StepSpec spec = step.spec();
    long cost = spec.filling() ? fillingCost(worker, spec) : reservingCost(worker, spec);
    cost += worker.history().isSuspect() ? SUSPECT_PENALTY : 0;
    String rack = worker.listing().map(WorkerListing::rack).orElse("");
    if (!spec.dataRack().isEmpty() && !spec.dataRack().equals(rack)) {
      cost += FAR_RACK_PENALTY;
    }
    if (spec.sameRack() && !racksOf(step).isEmpty() && !racksOf(step).contains(rack)) {
      cost += FAR_RACK_PENALTY;
    }
    if (Worker.serves(spec) && worker.servingCount() == 0) {
      cost += FIRST_SERVING_COST;
    }
    return cost;
  }

  /**
   * Fills up workers with short tasks, and spreads lasting ones: what they leave on each worker is
   * what short tasks live from once lasting ones ask for more than there is.
   */
  private static long reservingCost(Worker worker, StepSpec spec) {
    int freeAfter = worker.free().cpuMillis() - spec.cpuMillis();
    return spec.lasting() ? -freeAfter : Math.max(0, worker.idleCpuMillis() - spec.cpuMillis());
  }

  /**
   * Keeps workers without serving tasks for the images that press; elsewhere prefers workers where
   * much is unused and serving tasks are far from their targets.
   */
  private long fillingCost(Worker worker, StepSpec spec) {
    int unused = servingState(worker).unusedCpuMillis;
    if (worker.servingCount() == 0) {
      boolean heavy = pressure.ofImage(spec.image()) >= HEAVY_PRESSURE;
      return (heavy ? -QUIET_WORKER_COST : QUIET_WORKER_COST) - unused;
    }
    return -unused - Math.round(PRESSURE_COST * leftFor(spec, worker));
  }

  private Set<String> racksOf(StepRun step) {
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
