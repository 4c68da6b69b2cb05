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
 * Plays days of random jobs under those faults that a test names, beside the plain ones: orders
 * that are lost, answered late or carried out late, crashes, cuts and new owners.
 */
final class PoolFaults {
  private static final int WORKERS = 4;
  private static final int ROUNDS = 40;
  private static final int LONGEST_ROUND_MILLIS = 800;
  private static final long QUIET_MILLIS = 20_000;

  /** A fault that may happen in a day. */
  enum Fault {
    /** Workers call themselves unhealthy for a while and do nothing about starts. */
    UNHEALTHY,
    /** Workers have less room for a while than the owner knows. */
    TAKEN_ROOM,
    /** Workers crash and restart in place. */
    CRASH,
    /** Workers restart under their identifier at another address, or another's old one. */
    MOVE,
    /** Workers are cut off and run on. */
    CUT,
    /** Workers are cut off from the owner alone. */
    OWNER_CUT,
    /** Owners are replaced and end. */
    NEW_OWNER,
    /** A former owner goes on beside the new one for as long as its claim counts as proved. */
    FORMER_OWNER,
    /** A former owner goes on for longer, because the entries that it reaches follow it. */
    FOLLOWED_FORMER_OWNER,
    /** Listings go and come back, and changes of them arrive late. */
    LISTINGS,
    /** The store is down for a while. */
    STORE_DOWN,
    /** The store is slow. */
    STORE_SLOW,
    /** Jobs are cancelled. */
    CANCEL,
    /** Steps that keep checkpoints, and may be stopped for more urgent ones. */
    CHECKPOINTS,
    /** Steps that last. */
    LASTING,
    /** A stop takes a while. */
    SLOW_STOPS,
    /** Workers say that they leave, and some that they do not after all. */
    DRAIN,
    /** Steps whose tasks work only together. */
    GANGS,
    /** Jobs whose steps run several times, before the former time has ended too. */
    OCCURRENCES,
    /** Steps that fill, beside tasks that serve users and that they disturb. */
    FILLING,
    /** Unhealthy workers do nothing about stops either. */
    UNHEALTHY_STOPS,
    /** The owner's process stands still, and goes on as the owner. */
    STALLED_OWNER,
    /** The same, and its steady clock stands still with it. */
    SUSPENDED_OWNER,
    /** Answers come late, though in time. */
    SLOW_ANSWERS,
    /** Workers crash and restart in place at once. */
    PROMPT_RESTART,
    /** An owner is replaced beside a former one, ends, and the next one knows only of that end. */
    FORMER_BEHIND_KNOWN_END,
    /** Orders that a worker holds back reach its next life. */
    OTHER_LIFE,
    /** Workers grant leases longer than those that the owner asks for. */
    LONG_LEASES
  }

  /** Longest time that an owner gives orders after its claim was proved last, in milliseconds. */
  private static final int PROOF_MILLIS = 2_000;

  /** Longest time that a followed owner without the store gives orders, in milliseconds. */
  private static final int FOLLOWED_MILLIS = 12_000;

  /** Longest time for which an owner's process stands still and is not replaced. */
  private static final int LONGEST_STALL_MILLIS = 3_000;

  /** Longest time that an answer takes, in milliseconds; as the platform's client waits. */
  private static final int SLOW_ANSWER_MILLIS = 480;

  /** Longest lease that workers of one of the platform's sites grant, in milliseconds. */
  private static final int LONG_LEASE_MILLIS = 10_000;

  /** How long an owner that lost the store goes on once it is replaced, in milliseconds. */
  private static final int UNPROVED_MILLIS = 1_000;

  /** Shortest time in which a killed process is back and has told of itself, in milliseconds. */
  private static final int RESTART_MILLIS = 500;

  private PoolFaults() {}

  /** Plays a day and returns the world after it. */
  static PoolSimulation play(long seed, Set<Fault> faults) {
    PoolSimulation simulation = new PoolSimulation(seed, WORKERS);
    Random random = simulation.faults;
    List<Fault> all = new ArrayList<>(faults);
    boolean listings = faults.contains(Fault.LISTINGS) || faults.contains(Fault.MOVE);
    simulation.listingsToldOnce = listings;
    simulation.listingLagMillis = faults.contains(Fault.LISTINGS) ? random.nextInt(3_000) : 0;
    simulation.lateOrdersPassCuts = true;
    simulation.longPolling = true;
    prepare(simulation, seed, faults);
    if (faults.contains(Fault.SLOW_STOPS)) {
      simulation.workers.forEach(worker -> worker.stopMillis = random.nextInt(200));
    }
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < ROUNDS && simulation.oracle.violations.isEmpty(); i++) {
      switch (random.nextInt(10)) {
        case 0, 1, 2 -> jobs.add(submit(simulation, random, faults));
        case 3 -> simulation.lateOrders = random.nextInt(3) * 0.1;
        case 4 -> simulation.lostAnswers = random.nextInt(3) * 0.1;
        default -> happen(simulation, random, all.get(random.nextInt(all.size())), jobs);
      }
      simulation.run(random.nextInt(LONGEST_ROUND_MILLIS));
    }
    simulation.lateOrders = 0;
    simulation.lostAnswers = 0;
    simulation.slowAnswerMillis = 0;
    simulation.storeDown = false;
    simulation.beyondOwner.clear();
    simulation.beyondFormer.clear();
    simulation.unlisted.clear();
    for (SimulatedWorker worker : simulation.workers) {
      worker.disconnected = false;
      worker.draining = false;
      worker.unaccountedCpuMillis = 0;
      if (!worker.up) {
        restart(simulation, worker);
      }
    }
    if (simulation.oracle.violations.isEmpty()) {
      simulation.run(QUIET_MILLIS);
    }
    return simulation;
  }

  private static void prepare(PoolSimulation simulation, long seed, Set<Fault> faults) {
    simulation.lateOrdersReachOtherLives = faults.contains(Fault.OTHER_LIFE);
    SimulatedGangs gangs = new SimulatedGangs();
    SimulatedInterference model = new SimulatedInterference(seed, 0.5, 0.5, 5_000);
    model.setCoefficient("filling", "serving", 1);
    for (SimulatedWorker worker : simulation.workers) {
      worker.gangs = gangs;
      worker.unhealthyForStops = faults.contains(Fault.UNHEALTHY_STOPS);
      if (faults.contains(Fault.FILLING)) {
        worker.interference = Optional.of(model);
      }
      if (faults.contains(Fault.LONG_LEASES)) {
        worker.longestLeaseMillis = LONG_LEASE_MILLIS;
      }
    }
  }

  private static Job submit(PoolSimulation simulation, Random random, Set<Fault> faults) {
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
    if (faults.contains(Fault.FILLING) && random.nextInt(2) == 0) {
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

  /** Plays days and returns the first broken promise of each that has one, by seed. */
  static Map<Long, String> playAll(long firstSeed, int count, Set<Fault> faults) {
    Map<Long, String> broken = new TreeMap<>();
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      PoolSimulation simulation = play(seed, faults);
      if (!simulation.oracle.violations.isEmpty()) {
        broken.put(seed, simulation.oracle.violations.get(0));
      }
    }
    return broken;
  }

  static Set<Fault> of(Fault first, Fault... rest) {
    return EnumSet.of(first, rest);
  }

  private static void happen(
      PoolSimulation simulation, Random random, Fault fault, List<Job> jobs) {
    SimulatedWorker worker = simulation.workers.get(random.nextInt(simulation.workers.size()));
    switch (fault) {
      case UNHEALTHY -> worker.unhealthyUntil = simulation.now + random.nextInt(3_000);
      case TAKEN_ROOM -> worker.unaccountedCpuMillis = random.nextInt(3) * 2_000;
      case CRASH -> crashOrRestart(simulation, worker);
      case MOVE -> move(simulation, worker, random);
      case CUT -> worker.disconnected = !worker.disconnected;
      case DRAIN -> worker.draining = !worker.draining;
      case OWNER_CUT -> toggle(simulation.beyondOwner, worker);
      case NEW_OWNER -> simulation.replaceOwner();
      case FORMER_OWNER -> replaceOwner(simulation, random, random.nextInt(PROOF_MILLIS));
      case FOLLOWED_FORMER_OWNER ->
          replaceOwner(simulation, random, random.nextInt(FOLLOWED_MILLIS));
      case LISTINGS -> toggle(simulation.unlisted, worker);
      case STORE_DOWN -> simulation.storeDown = !simulation.storeDown;
      case STORE_SLOW -> simulation.appendMillis = 5L + random.nextInt(2) * 1_500L;
      case CANCEL -> {
        if (!jobs.isEmpty()) {
          String id = jobs.get(random.nextInt(jobs.size())).id();
          simulation.owner.find(id).ifPresent(simulation::cancel);
        }
      }
      case STALLED_OWNER -> simulation.stallOwner(1 + random.nextInt(LONGEST_STALL_MILLIS), false);
      case SUSPENDED_OWNER -> simulation.stallOwner(1 + random.nextInt(LONGEST_STALL_MILLIS), true);
      case SLOW_ANSWERS -> simulation.slowAnswerMillis = random.nextInt(2) * SLOW_ANSWER_MILLIS;
      case PROMPT_RESTART -> {
        if (worker.up) {
          worker.crash(simulation.now);
        }
        restart(simulation, worker);
      }
      case FORMER_BEHIND_KNOWN_END -> {
        replaceOwner(simulation, random, UNPROVED_MILLIS);
        simulation.run(RESTART_MILLIS + random.nextInt(500));
        simulation.replaceOwnerAfterKnownEnd();
      }
      case CHECKPOINTS, LASTING, SLOW_STOPS, GANGS, OCCURRENCES, FILLING -> {
        // in the steps and the workers
      }
      case UNHEALTHY_STOPS -> worker.unhealthyUntil = simulation.now + random.nextInt(3_000);
      case OTHER_LIFE, LONG_LEASES -> {
        // all day
      }
    }
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

  /** Begins a worker's next life in place, or elsewhere where its address is taken. */
  private static void restart(PoolSimulation simulation, SimulatedWorker worker) {
    List<String> free = freeAddresses(simulation);
    worker.restart(simulation.now, free.contains(worker.address) ? worker.address : free.get(0));
  }

  /** Ends a worker's life, or begins the next one at a free address that may be another's. */
  private static void move(PoolSimulation simulation, SimulatedWorker worker, Random random) {
    if (worker.up) {
      worker.crash(simulation.now);
      return;
    }
    List<String> free = freeAddresses(simulation);
    worker.restart(simulation.now, free.get(random.nextInt(free.size())));
  }

  /** Returns the addresses that no worker has; that of a worker that is down is among them. */
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

  private static void replaceOwner(PoolSimulation simulation, Random random, long formerMillis) {
    simulation.beyondFormer.clear();
    simulation.beyondOwner.clear();
    for (SimulatedWorker worker : simulation.workers) {
      switch (random.nextInt(4)) {
        case 0 -> simulation.beyondFormer.add(worker);
        case 1 -> simulation.beyondOwner.add(worker);
        default -> {
          // both reach it
        }
      }
    }
    simulation.replaceOwnerBesideFormer(formerMillis);
  }

  private static List<StepSpec> steps(Random random, Set<Fault> faults) {
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(3);
    boolean lasting = faults.contains(Fault.LASTING) && random.nextInt(4) == 0;
    for (int i = 0; i < count; i++) {
      int[] before = i == 0 ? new int[0] : new int[] {random.nextInt(i)};
      int tasks = 1 + random.nextInt(5);
      int cpuMillis = 500 + random.nextInt(3_000);
      long millis = 100L + random.nextInt(2_500);
      if (lasting) {
        steps.add(StepBuilder.longRunning(tasks, cpuMillis));
      } else if (faults.contains(Fault.CHECKPOINTS) && random.nextBoolean()) {
        steps.add(StepBuilder.checkpointing(tasks, cpuMillis, millis, before));
      } else {
        steps.add(StepBuilder.step(tasks, cpuMillis, millis, before));
      }
    }
    return steps;
  }
}
