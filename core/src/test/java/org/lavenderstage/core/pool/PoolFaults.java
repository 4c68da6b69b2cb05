package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.StepSpec;

/**
 * Simulates random jobs with random faults of the kinds that a test selects. Delayed orders and
 * lost answers occur in every simulation.
 */
final class PoolFaults {
  private static final int WORKERS = 4;
  private static final int ROUNDS = 40;
  private static final int MAX_ROUND_MILLIS = 800;
  private static final long RECOVERY_MILLIS = 20_000;

  /** A kind of fault, or a property of jobs or workers, that a simulation may include. */
  enum Fault {
    /** Workers report themselves unhealthy for a while and reject starts. */
    UNHEALTHY,
    /** Workers have less free capacity for a while than the owner assumes. */
    REDUCED_CAPACITY,
    /** Workers crash and restart in place. */
    CRASH,
    /** Workers restart under their identifier at another address, possibly of another worker. */
    ADDRESS_CHANGE,
    /** Workers are disconnected and keep running. */
    DISCONNECTION,
    /** Workers are disconnected from the owner only. */
    OWNER_DISCONNECTION,
    /** Owners end and are replaced. */
    NEW_OWNER,
    /** A previous owner continues beside the new one while its ownership counts as confirmed. */
    PREVIOUS_OWNER,
    /** A previous owner continues for longer, since the entries that it reaches follow it. */
    FOLLOWED_PREVIOUS_OWNER,
    /** Listings disappear and return, and changes of them arrive late. */
    LISTINGS,
    /** The store is unavailable for a while. */
    STORE_DOWN,
    /** The store is slow. */
    STORE_SLOW,
    /** Jobs are cancelled. */
    CANCEL,
    /** Steps with checkpoints, whose tasks may be preempted by more urgent ones. */
    CHECKPOINTS,
    /** Steps with long-running tasks. */
    LONG_RUNNING,
    /** Stops take a while. */
    SLOW_STOPS,
    /** Workers start to drain, and some of them cancel that. */
    DRAIN,
    /** Steps whose tasks run as a gang. */
    GANGS,
    /** Jobs whose steps run several times, with overlapping occurrences. */
    OCCURRENCES,
    /** Best-effort tasks, and serving tasks with which they interfere. */
    BEST_EFFORT,
    /** Unhealthy workers also reject stops. */
    UNHEALTHY_STOPS,
    /** The owner's process is paused, and continues as the owner. */
    PAUSED_OWNER,
    /** The same, while the owner's monotonic clock stops too. */
    SUSPENDED_OWNER,
    /** Answers are delayed, but arrive before the time-out. */
    SLOW_ANSWERS,
    /** Workers crash and restart in place immediately. */
    IMMEDIATE_RESTART,
    /**
     * An owner is replaced and continues; the new one ends, and the next knows only of that end.
     */
    PREVIOUS_OWNER_BEFORE_KNOWN_END,
    /** Delayed orders reach the next incarnation of their worker. */
    OTHER_INCARNATION,
    /** Workers grant longer leases than the owner requests. */
    LONG_LEASES,
    /** Orders to workers that are down fail at once. */
    REFUSED_CONNECTIONS,
    /** Delayed orders reach the next incarnation of their worker, before the owner's time-out. */
    SHORT_DELAYS,
    /** Disconnected workers restart in place, and are listed anew once they are connected again. */
    RESTART_BEHIND_DISCONNECTION,
    /** Owners end and are replaced by one that knows of their end. */
    NEW_OWNER_AFTER_KNOWN_END,
    /** Only jobs with few tasks that run for longer than the simulation. */
    OUTLASTING_TASKS,
    /** Up to half of the orders are delayed. */
    MANY_DELAYED_ORDERS,
    /** Workers restart only if the owner can know of each delayed start that they carry out. */
    KNOWABLE_DELAYED_STARTS
  }

  /** Kinds that apply to the whole simulation, and take no round. */
  private static final Set<Fault> PROPERTIES =
      EnumSet.of(Fault.OUTLASTING_TASKS, Fault.MANY_DELAYED_ORDERS, Fault.KNOWABLE_DELAYED_STARTS);

  /** Longest time that an owner gives orders after its last confirmation, in milliseconds. */
  private static final int OWNERSHIP_MILLIS = 2_000;

  /** Longest time that a followed owner gives orders without the store, in milliseconds. */
  private static final int FOLLOWED_OWNERSHIP_MILLIS = 12_000;

  /** Duration of tasks that run for longer than a simulation, in milliseconds. */
  private static final long OUTLASTING_TASK_MILLIS = 200_000;

  /** Longest pause of an owner's process that is not replaced, in milliseconds. */
  private static final int MAX_PAUSE_MILLIS = 3_000;

  /** Longest delay of an answer, in milliseconds; within the time-out of the platform's client. */
  private static final int MAX_ANSWER_DELAY_MILLIS = 480;

  /** Longest lease that the workers at one of the platform's sites grant, in milliseconds. */
  private static final int LONG_LEASE_MILLIS = 10_000;

  /** How long an owner without the store continues after its replacement, in milliseconds. */
  private static final int UNCONFIRMED_OWNERSHIP_MILLIS = 1_000;

  /** Shortest time in which a killed process restarts and announces itself, in milliseconds. */
  private static final int MIN_RESTART_MILLIS = 500;

  private PoolFaults() {}

  /** Runs a simulation and returns it in its final state. */
  static PoolSimulation simulate(long seed, Set<Fault> faults) {
    PoolSimulation simulation =
        new PoolSimulation(
            seed,
            WORKERS,
            faults.contains(Fault.LONG_LEASES) ? LONG_LEASE_MILLIS : SimulatedWorker.LEASE_MILLIS);
    Random random = simulation.faultRandom;
    List<Fault> all = new ArrayList<>(faults);
    all.removeAll(PROPERTIES);
    boolean listings = faults.contains(Fault.LISTINGS) || faults.contains(Fault.ADDRESS_CHANGE);
    simulation.listingsSentOnChange = listings;
    simulation.listingDelayMillis = faults.contains(Fault.LISTINGS) ? random.nextInt(3_000) : 0;
    simulation.delayedOrdersIgnoreDisconnection = true;
    simulation.longPolling = true;
    prepare(simulation, seed, faults);
    if (faults.contains(Fault.SLOW_STOPS)) {
      simulation.workers.forEach(worker -> worker.stopMillis = random.nextInt(200));
    }
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < ROUNDS && simulation.oracle.violations.isEmpty(); i++) {
      switch (random.nextInt(10)) {
        case 0, 1, 2 -> jobs.add(submit(simulation, random, faults));
        case 3 ->
            simulation.delayedOrderRate =
                random.nextInt(3) * (faults.contains(Fault.MANY_DELAYED_ORDERS) ? 0.25 : 0.1);
        case 4 -> simulation.lostAnswerRate = random.nextInt(3) * 0.1;
        default -> inject(simulation, random, all.get(random.nextInt(all.size())), jobs, faults);
      }
      simulation.run(random.nextInt(MAX_ROUND_MILLIS));
    }
    simulation.delayedOrderRate = 0;
    simulation.lostAnswerRate = 0;
    simulation.maxAnswerDelayMillis = 0;
    simulation.storeDown = false;
    simulation.unreachableByOwner.clear();
    simulation.unreachableByPreviousOwner.clear();
    simulation.unlisted.clear();
    for (SimulatedWorker worker : simulation.workers) {
      worker.disconnected = false;
      worker.draining = false;
      worker.unaccountedCpuMillis = 0;
      if (!worker.up && mayRestart(simulation, worker, true, faults)) {
        restart(simulation, worker);
      }
    }
    if (simulation.oracle.violations.isEmpty()) {
      simulation.run(RECOVERY_MILLIS);
    }
    return simulation;
  }

  private static void prepare(PoolSimulation simulation, long seed, Set<Fault> faults) {
    simulation.delaysWithinTimeout = faults.contains(Fault.SHORT_DELAYS);
    simulation.delayedOrdersReachOtherIncarnations =
        faults.contains(Fault.OTHER_INCARNATION) || faults.contains(Fault.SHORT_DELAYS);
    simulation.refusesConnections = faults.contains(Fault.REFUSED_CONNECTIONS);
    SimulatedGangs gangs = new SimulatedGangs();
    SimulatedInterference model = new SimulatedInterference(seed, 0.5, 0.5, 5_000);
    model.setCoefficient("filling", "serving", 1);
    for (SimulatedWorker worker : simulation.workers) {
      worker.gangs = gangs;
      worker.unhealthyForStops = faults.contains(Fault.UNHEALTHY_STOPS);
      if (faults.contains(Fault.BEST_EFFORT)) {
        worker.interference = Optional.of(model);
      }
    }
  }

  private static Job submit(PoolSimulation simulation, Random random, Set<Fault> faults) {
    if (faults.contains(Fault.OUTLASTING_TASKS)) {
      int tasks = 1 + random.nextInt(3);
      int cpuMillis = 200 + random.nextInt(1_000);
      StepSpec step = StepBuilder.step(tasks, cpuMillis, OUTLASTING_TASK_MILLIS);
      return simulation.submit(List.of(step), random.nextInt(3));
    }
    if (faults.contains(Fault.GANGS) && random.nextInt(3) == 0) {
      int tasks = 2 + random.nextInt(3);
      int cpuMillis = 500 + random.nextInt(3_000);
      long millis = 100L + random.nextInt(2_500);
      List<StepSpec> gang =
          List.of(
              StepBuilder.of(tasks, cpuMillis, millis)
                  .gang()
                  .checkpointing(random.nextBoolean())
                  .build());
      return simulation.submit(gang, random.nextInt(3));
    }
    if (faults.contains(Fault.BEST_EFFORT) && random.nextInt(2) == 0) {
      StepSpec step =
          random.nextInt(3) == 0
              ? StepBuilder.ofServing(1 + random.nextInt(4), 3_000, "serving", 75).build()
              : StepBuilder.ofBestEffort(
                      1 + random.nextInt(6), 3_000, 100L + random.nextInt(4_000), "filling")
                  .checkpointing(random.nextBoolean())
                  .build();
      return simulation.submit(List.of(step), random.nextInt(3));
    }
    if (faults.contains(Fault.OCCURRENCES) && random.nextInt(3) == 0) {
      int times = 2 + random.nextInt(4);
      long interval = 300L + random.nextInt(2_000);
      return simulation.submitRepeated(steps(random, faults), random.nextInt(3), times, interval);
    }
    return simulation.submit(steps(random, faults), random.nextInt(3));
  }

  /** Runs several simulations and returns the first violation of each that has one, by seed. */
  static Map<Long, String> simulateAll(long firstSeed, int count, Set<Fault> faults) {
    Map<Long, String> firstViolations = new TreeMap<>();
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      PoolSimulation simulation = simulate(seed, faults);
      if (!simulation.oracle.violations.isEmpty()) {
        firstViolations.put(seed, simulation.oracle.violations.get(0));
      }
    }
    return firstViolations;
  }

  static Set<Fault> of(Fault first, Fault... rest) {
    return EnumSet.of(first, rest);
  }

  private static void inject(
      PoolSimulation simulation, Random random, Fault fault, List<Job> jobs, Set<Fault> all) {
    SimulatedWorker worker = simulation.workers.get(random.nextInt(simulation.workers.size()));
    boolean listed =
        fault != Fault.RESTART_BEHIND_DISCONNECTION && simulation.isPresentListingPublished(worker);
    boolean mayRestart = mayRestart(simulation, worker, listed, all);
    switch (fault) {
      case UNHEALTHY -> worker.unhealthyUntil = simulation.now + random.nextInt(3_000);
      case REDUCED_CAPACITY -> worker.unaccountedCpuMillis = random.nextInt(3) * 2_000;
      case CRASH -> {
        if (worker.up || mayRestart) {
          crashOrRestart(simulation, worker);
        }
      }
      case ADDRESS_CHANGE -> changeAddress(simulation, worker, random);
      case DISCONNECTION -> worker.disconnected = !worker.disconnected;
      case DRAIN -> worker.draining = !worker.draining;
      case OWNER_DISCONNECTION -> toggle(simulation.unreachableByOwner, worker);
      case NEW_OWNER -> simulation.replaceOwner();
      case PREVIOUS_OWNER -> replaceOwner(simulation, random, random.nextInt(OWNERSHIP_MILLIS));
      case FOLLOWED_PREVIOUS_OWNER ->
          replaceOwner(simulation, random, random.nextInt(FOLLOWED_OWNERSHIP_MILLIS));
      case LISTINGS -> toggle(simulation.unlisted, worker);
      case STORE_DOWN -> simulation.storeDown = !simulation.storeDown;
      case STORE_SLOW -> simulation.appendMillis = 5L + random.nextInt(2) * 1_500L;
      case CANCEL -> {
        if (!jobs.isEmpty()) {
          String id = jobs.get(random.nextInt(jobs.size())).id();
          simulation.owner.find(id).ifPresent(simulation::cancel);
        }
      }
      case PAUSED_OWNER -> simulation.pauseOwner(1 + random.nextInt(MAX_PAUSE_MILLIS), false);
      case SUSPENDED_OWNER -> simulation.pauseOwner(1 + random.nextInt(MAX_PAUSE_MILLIS), true);
      case SLOW_ANSWERS ->
          simulation.maxAnswerDelayMillis = random.nextInt(2) * MAX_ANSWER_DELAY_MILLIS;
      case IMMEDIATE_RESTART -> {
        if (mayRestart) {
          if (worker.up) {
            worker.crash(simulation.now);
          }
          restart(simulation, worker);
        }
      }
      case RESTART_BEHIND_DISCONNECTION -> {
        if (worker.disconnected && mayRestart) {
          simulation.restartUnseen(worker);
        }
      }
      case NEW_OWNER_AFTER_KNOWN_END -> simulation.replaceOwnerKnownToHaveEnded();
      case PREVIOUS_OWNER_BEFORE_KNOWN_END -> {
        replaceOwner(simulation, random, UNCONFIRMED_OWNERSHIP_MILLIS);
        simulation.run(MIN_RESTART_MILLIS + random.nextInt(500));
        simulation.replaceOwnerKnownToHaveEnded();
      }
      case CHECKPOINTS, LONG_RUNNING, SLOW_STOPS, GANGS, OCCURRENCES, BEST_EFFORT -> {
        // Affect the steps and the workers.
      }
      case UNHEALTHY_STOPS -> worker.unhealthyUntil = simulation.now + random.nextInt(3_000);
      case OTHER_INCARNATION,
          LONG_LEASES,
          REFUSED_CONNECTIONS,
          SHORT_DELAYS,
          OUTLASTING_TASKS,
          MANY_DELAYED_ORDERS,
          KNOWABLE_DELAYED_STARTS -> {
        // Apply to the whole simulation.
      }
    }
  }

  private static boolean mayRestart(
      PoolSimulation simulation, SimulatedWorker worker, boolean listed, Set<Fault> faults) {
    long listedMillis = listed ? simulation.now + simulation.listingDelayMillis : Long.MAX_VALUE;
    return !faults.contains(Fault.KNOWABLE_DELAYED_STARTS)
        || simulation.delayedStarts.areKnowable(worker, listedMillis);
  }

  private static void toggle(Set<SimulatedWorker> set, SimulatedWorker worker) {
    if (!set.remove(worker)) {
      set.add(worker);
    }
  }

  private static void crashOrRestart(PoolSimulation simulation, SimulatedWorker worker) {
    if (worker.up) {
      worker.crash(simulation.now);
    } else {
      restart(simulation, worker);
    }
  }

  /** Restarts a worker in place, or at a free address if its own is in use. */
  private static void restart(PoolSimulation simulation, SimulatedWorker worker) {
    List<String> free = freeAddresses(simulation);
    worker.restart(simulation.now, free.contains(worker.address) ? worker.address : free.get(0));
  }

  /** Crashes a worker, or restarts it at a free address that another worker may have had. */
  private static void changeAddress(
      PoolSimulation simulation, SimulatedWorker worker, Random random) {
    if (worker.up) {
      worker.crash(simulation.now);
      return;
    }
    List<String> free = freeAddresses(simulation);
    worker.restart(simulation.now, free.get(random.nextInt(free.size())));
  }

  /** Returns the addresses that no running worker uses. */
  private static List<String> freeAddresses(PoolSimulation simulation) {
    List<String> free = new ArrayList<>();
    for (int i = 0; i <= WORKERS; i++) {
      String address = "10.0.0." + i + ":80";
      if (simulation.workers.stream().noneMatch(w -> w.up && w.address.equals(address))) {
        free.add(address);
      }
    }
    return free;
  }

  private static void replaceOwner(
      PoolSimulation simulation, Random random, long previousOwnerMillis) {
    simulation.unreachableByPreviousOwner.clear();
    simulation.unreachableByOwner.clear();
    for (SimulatedWorker worker : simulation.workers) {
      switch (random.nextInt(4)) {
        case 0 -> simulation.unreachableByPreviousOwner.add(worker);
        case 1 -> simulation.unreachableByOwner.add(worker);
        default -> {
          // Both owners reach it.
        }
      }
    }
    simulation.replaceOwnerKeepingPrevious(previousOwnerMillis);
  }

  private static List<StepSpec> steps(Random random, Set<Fault> faults) {
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(3);
    boolean longRunningSteps = faults.contains(Fault.LONG_RUNNING) && random.nextInt(4) == 0;
    for (int i = 0; i < count; i++) {
      int[] dependsOn = i == 0 ? new int[0] : new int[] {random.nextInt(i)};
      int tasks = 1 + random.nextInt(5);
      int cpuMillis = 500 + random.nextInt(3_000);
      long millis = 100L + random.nextInt(2_500);
      if (longRunningSteps) {
        steps.add(StepBuilder.longRunning(tasks, cpuMillis));
      } else if (faults.contains(Fault.CHECKPOINTS) && random.nextBoolean()) {
        steps.add(StepBuilder.checkpointing(tasks, cpuMillis, millis, dependsOn));
      } else {
        steps.add(StepBuilder.step(tasks, cpuMillis, millis, dependsOn));
      }
    }
    return steps;
  }
}
