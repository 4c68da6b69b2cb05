package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/**
 * The capacity that is kept in one scheduling round for tasks of higher rank. Short tasks that end
 * before it is needed may use it, and tasks of lower rank get what it leaves.
 */
final class Reservations {
  /** Maximum fraction of the workers that have a reservation. */
  private static final double MAX_RESERVED_FRACTION = 0.25;

  /**
   * Time that long-running tasks wait for reserved capacity to become free, in milliseconds;
   * shorter than the wait that their users accept.
   */
  private static final long LASTING_WAIT_MILLIS = 2_000;

  /** What capacity is reserved for. */
  private enum Purpose {
    /** A task that has not run and fits nowhere yet. */
    WAITING,
    /** An interrupted task that fits nowhere yet. */
    INTERRUPTED,
    /** An interrupted task that waits until it cannot run under a previous owner any more. */
    INHERITED,
    /** The members of a gang, which do not all fit yet. */
    GANG
  }

  /**
   * A reservation of capacity on a worker, and the monotonic time at which it is expected to be
   * used.
   */
  private record Reservation(Resources resources, Purpose purpose, long fitsAtMillis) {}

  private final Map<Worker, Reservation> reservations = new HashMap<>();

  /** The tasks that are not interrupted and have a reservation. */
  private final Set<Task> waitingTasks = new HashSet<>();

  private final WorkerSelector selector;
  private final Collection<Worker> workers;
  private final long nowMillis;

  /**
   * Creates the reservations of a scheduling round.
   *
   * @param selector tells on which workers a task is allowed, and what their short runs occupy
   */
  Reservations(WorkerSelector selector, Collection<Worker> workers, long nowMillis) {
    this.selector = selector;
    this.workers = workers;
    this.nowMillis = nowMillis;
  }

  /**
   * Reserves capacity for an interrupted task that fits nowhere yet, on the worker with the most
   * free processors among those where the task fits once the short runs have ended. Tasks of lower
   * rank get only what the reservation leaves.
   *
   * @return whether capacity is reserved
   */
  boolean reserveForInterrupted(Task task) {
    return mayReserve() && reserveOnMostFree(task, Purpose.INTERRUPTED, nowMillis);
  }

  /**
   * Reserves capacity for an interrupted task that may still run on a worker that does not respond.
   * Tasks that end before it may start elsewhere, and interrupted tasks that may start now, use the
   * capacity until then.
   *
   * @param leaseEndMillis monotonic time at which the lease of that worker ends
   */
  void reserveForInherited(Task task, long leaseEndMillis) {
    if (mayReserve()) {
      reserveOnMostFree(task, Purpose.INHERITED, leaseEndMillis);
    }
  }

  /**
   * Reserves capacity in the same way for a task that is not interrupted: for each urgent task, and
   * of the other tasks only for the first of a round if no urgent one has a reservation.
   *
   * @return whether the task, or the one with the reservation, fits on a worker once its short runs
   *     have ended
   */
  boolean reserveFor(Task task) {
    boolean urgent = task.step().job().rules().priority() == 0;
    boolean reserved = waitingTasks.contains(task) || (!urgent && !waitingTasks.isEmpty());
    if (reserved) {
      return true;
    }
    if (!mayReserve()) {
      return findMostFree(task).isPresent();
    }
    boolean fits = reserveOnMostFree(task, Purpose.WAITING, nowMillis);
    if (fits) {
      waitingTasks.add(task);
    }
    return fits;
  }

  /**
   * Reserves capacity for all members of a gang, on the workers with the most free processors.
   * Nothing is reserved if the members do not all fit once the short runs have ended; where they
   * need more workers than may have a reservation, only that many get one.
   *
   * @param members the members, none of which has a run
   * @return whether capacity is reserved
   */
  boolean reserveForGang(List<Task> members) {
    Task member = members.get(0);
    List<Worker> byFree =
        workers.stream()
            .filter(worker -> !reservations.containsKey(worker))
            .filter(worker -> selector.isAllowed(worker, member))
            .sorted(Comparator.comparingInt((Worker worker) -> -worker.free().cpuMillis()))
            .toList();
    Resources demand = Worker.demand(member.step().spec());
    Map<Worker, Resources> parts = new LinkedHashMap<>();
    int missing = members.size();
    long fitsAt = nowMillis;
    for (Worker worker : byFree) {
      int count = memberCount(worker, member.step(), missing);
      if (count > 0) {
        Resources part = times(demand, count);
        parts.put(worker, part);
        fitsAt = Math.max(fitsAt, CapacityForecast.fitsAtMillis(worker, part, nowMillis));
        missing -= count;
      }
    }
    if (missing > 0) {
      return false;
    }
    for (Map.Entry<Worker, Resources> part : parts.entrySet()) {
      if (mayReserve()) {
        reservations.put(part.getKey(), new Reservation(part.getValue(), Purpose.GANG, fitsAt));
      }
    }
    return true;
  }

  /** Returns how many of the missing members of a gang fit on a worker without its short runs. */
  private int memberCount(Worker worker, JobStep gang, int missing) {
    StepSpec spec = gang.spec();
    Resources demand = Worker.demand(spec);
    Resources free = selector.freeAfterShortRuns(worker);
    int max = spec.maxPerWorker() == 0 ? missing : Math.min(missing, spec.maxPerWorker());
    int count = 0;
    while (count < max && demand.fitsIn(free)) {
      free = free.minus(demand);
      count++;
    }
    return count;
  }

  private static Resources times(Resources demand, int count) {
    Resources sum = Resources.NONE;
    for (int i = 0; i < count; i++) {
      sum = sum.plus(demand);
    }
    return sum;
  }

  /** Returns whether another worker may get a reservation. */
  boolean mayReserve() {
    return reservations.size() < Math.max(1, Math.round(MAX_RESERVED_FRACTION * workers.size()));
  }

  private boolean reserveOnMostFree(Task task, Purpose purpose, long notBeforeMillis) {
    Optional<Worker> mostFree = findMostFree(task);
    Resources demand = Worker.demand(task.step().spec());
    mostFree.ifPresent(
        worker -> {
          long fitsAt = CapacityForecast.fitsAtMillis(worker, demand, nowMillis);
          reservations.put(
              worker, new Reservation(demand, purpose, Math.max(fitsAt, notBeforeMillis)));
        });
    return mostFree.isPresent();
  }

  private Optional<Worker> findMostFree(Task task) {
    Resources demand = Worker.demand(task.step().spec());
    return workers.stream()
        .filter(worker -> !reservations.containsKey(worker) && selector.isAllowed(worker, task))
        .filter(worker -> demand.fitsIn(selector.freeAfterShortRuns(worker)))
        .max(Comparator.comparingInt(worker -> worker.free().cpuMillis()));
  }

  /** Returns when the reserved capacity of a worker is expected to be used. */
  long fitsAtMillis(Worker worker) {
    return reservations.get(worker).fitsAtMillis();
  }

  /**
   * Returns whether a reservation keeps a task off a worker. There are three exceptions:
   *
   * <ul>
   *   <li>A task that fits twice may use the capacity, since long-running tasks must not wait
   *       beside that much. Against an interrupted task or a gang this applies only to other
   *       interrupted tasks, as smaller tasks would otherwise use up each part before enough is
   *       free, and to long-running tasks where the reserved capacity does not become free soon.
   *   <li>A short task that is expected to end before the reserved capacity is free may use it
   *       until then.
   *   <li>An interrupted task that may start now precedes one that may not.
   * </ul>
   */
  boolean isBlocked(Worker worker, Task task) {
    StepSpec spec = task.step().spec();
    Reservation reservation = reservations.get(worker);
    if (reservation == null || spec.filling()) {
      return false;
    }
    if (reservation.purpose() == Purpose.INHERITED && task.isInterrupted(nowMillis)) {
      return false;
    }
    Resources demand = Worker.demand(spec);
    boolean isAvailableLate = reservation.fitsAtMillis() > nowMillis + LASTING_WAIT_MILLIS;
    boolean mayShare =
        reservation.purpose() == Purpose.WAITING
            || task.isInterrupted(nowMillis)
            || (spec.lasting() && isAvailableLate);
    boolean sharesCapacity = mayShare && demand.plus(demand).fitsIn(worker.free());
    boolean endsBefore =
        !spec.lasting() && nowMillis + spec.estimateMillis() <= reservation.fitsAtMillis();
    return !demand.plus(reservation.resources()).fitsIn(worker.free())
        && !sharesCapacity
        && !endsBefore;
  }

  /**
   * Returns whether a task would use capacity that is reserved for an interrupted task or a gang. A
   * long-running task holds what it gets until its job is cancelled, so one that has never run
   * prefers other workers.
   */
  boolean isAvoidedBy(Worker worker, Task task) {
    Reservation reservation = reservations.get(worker);
    return reservation != null
        && reservation.purpose() != Purpose.WAITING
        && task.step().spec().lasting()
        && !task.hasBegun();
  }
}
