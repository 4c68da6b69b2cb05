package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/** Chooses the worker for a task: where it may run, where it fits, and where it disturbs least. */
final class WorkerSelector {
  /**
   * Penalty in thousandths of a core for a rack that is far from the data; more than any worker.
   */
  private static final int FAR_RACK_PENALTY = 1_000_000;

  /** Penalty for a worker that failed or refused its latest; larger than any difference in room. */
  private static final int SUSPECT_PENALTY = 500_000;

  /** Cost of a whole utilization that a filling task takes from serving ones; a large worker's. */
  private static final int PRESSURE_COST = 60_000;

  /** Cost of the first task that serves users on a worker; more than any worker has cores. */
  private static final int FIRST_SERVING_COST = 100_000;

  /** Cost of another image that serves users on a worker; more than that of a worker of its own. */
  private static final int OTHER_IMAGE_COST = 200_000;

  /**
   * Cost of taking a worker without serving tasks from the images that press, or of not using it
   * for one that does; more than any worker has cores.
   */
  private static final long QUIET_WORKER_COST = 100_000L;

  /** Pressure from which an image is worth a worker of its own; about that of its processors. */
  private static final double HEAVY_PRESSURE = 0.9;

  /** Part of the limits of serving tasks that new filling tasks leave free. */
  private static final double HEADROOM = 0.08;

  /** Utilization up to which a filling task is too light for the headroom to matter. */
  private static final double LIGHT = 0.015;

  /** Cost of room that an interrupted task waits for, to a lasting one; more than all others. */
  private static final long KEPT_COST = 10_000_000L;

  /** Standard deviations by which a pressure may be higher than believed. */
  private static final double CAUTION = 1.0;

  /** Largest part of the workers on which room is kept. */
  private static final double KEPT_SHARE = 0.25;

  /** How long lasting tasks wait for kept room to be complete; less than their users take. */
  private static final long LASTING_WAIT_MILLIS = 2_000;

  /** Room that is kept for a task that fits nowhere, and when the task is expected to fit. */
  private record KeptRoom(Resources room, boolean forInterrupted, long fitsAtMillis) {}

  /** What a task needs from a worker. */
  record Need(Resources demand, String service, String requiredLabel) {
    static Need of(Task task) {
      StepSpec spec = task.step().spec();
      return new Need(
          Worker.demand(spec), task.step().job().rules().service(), spec.requiredLabel());
    }
  }

  private final Map<Worker, KeptRoom> kept = new HashMap<>();
  private final Map<Worker, Resources> finalRooms = new HashMap<>();

  private final Collection<Worker> workers;
  private final long steadyMillis;
  private final Collection<Need> lackedRoom;
  private final BestEffortInterference pressure;
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
   * @param lackedRoom what urgent tasks need that lacked room; lasting ones leave them the last
   *     place
   * @param monotonicMillis steady time
   */
  WorkerSelector(
      Collection<Worker> workers,
      BestEffortInterference pressure,
      Collection<Need> lackedRoom,
      long monotonicMillis) {
    this.workers = workers;
    this.pressure = pressure;
    this.lackedRoom = lackedRoom;
    this.steadyMillis = monotonicMillis;
  }

  /** Looks for the best worker that has room. */
  PlacementResult search(Task task) {
    Worker best = null;
    long least = Long.MAX_VALUE;
    int places = 0;
    long placeForMillis = -1;
    StepSpec spec = task.step().spec();
    for (Worker worker : workers) {
      Fit fit = fit(worker, task);
      if (fit == Fit.KEPT && !spec.lasting()) {
        placeForMillis = Math.max(placeForMillis, kept.get(worker).fitsAtMillis() - steadyMillis);
      }
      if (fit == Fit.FITS) {
        Resources twice = Worker.demand(spec).plus(Worker.demand(spec));
        places += twice.fitsIn(worker.free()) ? 2 : 1;
        long cost = cost(worker, task.step()) + keptCost(worker, task);
        if (cost < least) {
          least = cost;
          best = worker;
        }
      }
    }
    if (best == null) {
      return new PlacementResult.NoRoom(placeForMillis);
    }
    boolean spared = spec.lasting() && !task.hasBegun() && places < 2 && servesNeed(best);
    return spared ? new PlacementResult.Withheld() : new PlacementResult.Found(best);
  }

  /** Tells whether an urgent task that lacked room fits on a worker, or will. */
  private boolean servesNeed(Worker worker) {
    if (lackedRoom.isEmpty()) {
      return false;
    }
    Resources room = finalRoom(worker);
    WorkerListing listing = worker.listing().orElseThrow();
    return lackedRoom.stream()
        .anyMatch(
            need ->
                need.demand().fitsIn(room) && isOf(listing, need.service(), need.requiredLabel()));
  }

  private Resources finalRoom(Worker worker) {
    return finalRooms.computeIfAbsent(worker, CapacityForecast::finalRoom);
  }

  private static boolean isOf(WorkerListing listing, String service, String requiredLabel) {
    return listing.service().equals(service)
        && (requiredLabel.isEmpty() || listing.labels().contains(requiredLabel));
  }

  /** Notes that a run was added to a worker. */
  void placedOn(Worker worker) {
    servingStates.remove(worker);
    finalRooms.remove(worker);
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
      JobStep step = run.task().step();
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
   * for an interrupted task that fits nowhere yet. Less needed tasks get there only what it leaves.
   *
   * @return whether one is kept
   */
  boolean keepPlaceForInterrupted(Task task) {
    return hasRoomToKeep() && keepRoomiest(task, true);
  }

  /**
   * Does the same for another task, once in a round: the first that asks gets it.
   *
   * @return whether any worker will have enough
   */
  boolean keepPlaceFor(Task task) {
    boolean served = kept.values().stream().anyMatch(room -> !room.forInterrupted());
    return served || (hasRoomToKeep() ? keepRoomiest(task, false) : roomiest(task).isPresent());
  }

  private boolean hasRoomToKeep() {
    return kept.size() < Math.max(1, Math.round(KEPT_SHARE * workers.size()));
  }

  private boolean keepRoomiest(Task task, boolean interrupted) {
    Optional<Worker> roomiest = roomiest(task);
    Resources demand = Worker.demand(task.step().spec());
    roomiest.ifPresent(
        worker -> {
          long fitsAt = CapacityForecast.fitsAtMillis(worker, demand, steadyMillis);
          kept.put(worker, new KeptRoom(demand, interrupted, fitsAt));
        });
    return roomiest.isPresent();
  }

  private Optional<Worker> roomiest(Task task) {
    Resources demand = Worker.demand(task.step().spec());
    return workers.stream()
        .filter(worker -> !kept.containsKey(worker) && isAllowed(worker, task))
        .filter(worker -> demand.fitsIn(finalRoom(worker)))
        .max(Comparator.comparingInt(worker -> worker.free().cpuMillis()));
  }

  /** Everything but room. */
  boolean isAllowed(Worker worker, Task task) {
    JobStep step = task.step();
    StepSpec spec = step.spec();
    if (!worker.takesRuns(steadyMillis)) {
      return false;
    }
    WorkerListing listing = worker.listing().orElseThrow();
    return isOf(listing, step.job().rules().service(), spec.requiredLabel())
        && (spec.maxPerWorker() == 0 || worker.countOf(step) < spec.maxPerWorker())
        && task.runs().stream().noneMatch(run -> run.worker().equals(worker.id()));
  }

  /** Counts the workers by whether a task can be placed there, and else what is against it. */
  Map<Fit, Integer> fits(Task task) {
    Map<Fit, Integer> counts = new EnumMap<>(Fit.class);
    workers.forEach(worker -> counts.merge(fit(worker, task), 1, Integer::sum));
    return counts;
  }

  private Fit fit(Worker worker, Task task) {
    if (!isAllowed(worker, task)) {
      return worker.isBlocked(steadyMillis) ? Fit.PAUSED : Fit.NOT_ALLOWED;
    }
    StepSpec spec = task.step().spec();
    if (!Worker.demand(spec).fitsIn(worker.free())) {
      return Fit.RESERVED;
    }
    if (takesKept(worker, task)) {
      return Fit.KEPT;
    }
    if (spec.filling() && servingState(worker).unusedCpuMillis < spec.cpuMillis() / 2) {
      return Fit.BUSY;
    }
    return spec.filling() && leftFor(spec, worker) < 0 ? Fit.PRESSES : Fit.FITS;
  }

  /**
   * Tells whether a task would take room that is kept. Where there is room for it twice over, it
   * may have it: no lasting task waits beside that much. Against an interrupted task this holds for
   * others that are interrupted only, or smaller ones would use up each piece before it is large
   * enough. A short task that is expected to end before the room is complete may use it until then,
   * and a lasting one is held to that rule only where the room is complete soon.
   */
  private boolean takesKept(Worker worker, Task task) {
    StepSpec spec = task.step().spec();
    KeptRoom room = kept.get(worker);
    if (room == null || spec.filling()) {
      return false;
    }
    Resources demand = Worker.demand(spec);
    boolean isLate = room.fitsAtMillis() > steadyMillis + LASTING_WAIT_MILLIS;
    boolean mayShare =
        !room.forInterrupted() || task.isInterrupted(steadyMillis) || (spec.lasting() && isLate);
    boolean sharesRoom = mayShare && demand.plus(demand).fitsIn(worker.free());
    boolean endsBefore =
        !spec.lasting() && steadyMillis + spec.estimateMillis() <= room.fitsAtMillis();
    return !demand.plus(room.room()).fitsIn(worker.free()) && !sharesRoom && !endsBefore;
  }

  /**
   * What a lasting task takes is gone for good, so that one that never ran goes elsewhere first.
   */
  private long keptCost(Worker worker, Task task) {
    KeptRoom room = kept.get(worker);
    boolean takes =
        room != null && room.forInterrupted() && task.step().spec().lasting() && !task.hasBegun();
    return takes ? KEPT_COST : 0;
  }

  private long cost(Worker worker, JobStep step) {
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
    if (Worker.serves(spec) && !worker.isServing(spec.image())) {
      cost += worker.isServing() ? OTHER_IMAGE_COST : FIRST_SERVING_COST;
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
    if (!worker.isServing()) {
      boolean heavy = pressure.ofImage(spec.image()) >= HEAVY_PRESSURE;
      return (heavy ? -QUIET_WORKER_COST : QUIET_WORKER_COST) - unused;
    }
    return -unused - Math.round(PRESSURE_COST * leftFor(spec, worker));
  }

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
