package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.placement.Resources;

/** Simulates a worker of the platform that runs tasks under leases, with a virtual clock. */
final class SimulatedWorker {
  static final int LEASE_MILLIS = 6_000;
  private static final double CLOCK_RATE = 0.98;

  final String id;
  String address;
  String domain = "domain";
  String rack = "rack";
  boolean cold;
  long startMillis;
  boolean up = true;
  boolean disconnected;
  boolean draining;
  private final TaskOracle oracle;
  private final Map<TaskId, ActiveRun> running = new HashMap<>();
  private final Map<TaskId, Long> highestEnded = new HashMap<>();
  private final List<WorkerReport.EndedTask> ended = new ArrayList<>();
  private long highestToken;
  private long lastEndedNumber;
  private long leaseUntil;

  /**
   * Number up to which ended runs were listed when the lease expired; by the platform's rules they
   * are never acknowledged.
   */
  private long neverAcknowledgedUpTo;

  /** Orders that the worker ignored because of their fencing token. */
  final List<Order> fencedOrders = new ArrayList<>();

  /** Interference between the tasks of a worker; none unless a test sets it. */
  Optional<SimulatedInterference> interference = Optional.empty();

  /** CPU capacity in thousandths of a core. */
  int cpuMillis = 8_000;

  /** CPU that something unknown to the owner uses, in thousandths of a core. */
  int unaccountedCpuMillis;

  /** Time until which the worker reports itself unhealthy and rejects starts. */
  long unhealthyUntil;

  /** Whether the worker also rejects stops while it is unhealthy. */
  boolean unhealthyForStops;

  /** Longest lease that the worker grants, in milliseconds. */
  int longestLeaseMillis = LEASE_MILLIS;

  /** The gangs of all workers; of this worker only, unless a test shares them. */
  SimulatedGangs gangs = new SimulatedGangs();

  /** How long a stop takes, in milliseconds. */
  long stopMillis;

  /** Ratio of the work of a task to its estimate. */
  ToDoubleFunction<TaskId> workToEstimateRatio = task -> 1;

  /** Time after which a failing run of a long-running task fails, in milliseconds. */
  long longRunningFailureMillis = Long.MAX_VALUE / 4;

  /** Whether all runs fail on this worker. */
  boolean failsAllRuns;

  /** Number of starts that the worker carried out. */
  int startCount;

  /** Whether the stopped tasks of a step with checkpoints resume from their checkpoints. */
  boolean resumesFromCheckpoint;

  private final Map<TaskId, Integer> speedLimits = new HashMap<>();
  private long advancedToMillis;

  /** A run on this worker; it ends at a given time, or if best-effort when its work is done. */
  private static final class ActiveRun {
    final long attempt;
    final StepSpec spec;
    final long endsAtMillis;
    final boolean fails;
    double workLeftMillis;
    long stopsAtMillis = Long.MAX_VALUE;
    Optional<SimulatedGangs.Gang> gang = Optional.empty();

    ActiveRun(
        long attempt, StepSpec spec, long endsAtMillis, boolean fails, double workLeftMillis) {
      this.attempt = attempt;
      this.spec = spec;
      this.endsAtMillis = endsAtMillis;
      this.fails = fails;
      this.workLeftMillis = workLeftMillis;
    }

    /** Returns the checkpoint of the run: the remaining work in milliseconds. */
    String checkpoint() {
      return Long.toString(Math.round(Math.max(0, workLeftMillis)));
    }
  }

  SimulatedWorker(int number, long startMillis, TaskOracle oracle) {
    this.id = "w" + number;
    this.address = "10.0.0." + number + ":80";
    this.startMillis = startMillis;
    this.oracle = oracle;
  }

  WorkerListing listing() {
    return new WorkerListing(
        id,
        "service",
        address,
        domain,
        rack,
        Set.of(rack),
        new Resources(cpuMillis, 256_000, 0),
        draining,
        startMillis,
        cold);
  }

  long clock(long now) {
    return Math.round((now - startMillis) * CLOCK_RATE);
  }

  /** Advances to the given time and ends the runs that are due; called before other events. */
  void advance(long now) {
    if (!up) {
      return;
    }
    if (clock(now) > leaseUntil) {
      neverAcknowledgedUpTo = lastEndedNumber;
    }
    interference.ifPresent(model -> model.advance(this, now - advancedToMillis, now));
    advancedToMillis = now;
    for (TaskId task : List.copyOf(running.keySet())) {
      ActiveRun run = running.get(task);
      boolean bestEffort = interference.isPresent() && run.spec.filling();
      Optional<EndKind> gangEnd = run.gang.flatMap(gang -> gang.endOf(task, now));
      if (clock(now) > leaseUntil) {
        end(task, EndKind.LAPSED, now);
      } else if (gangEnd.isPresent()) {
        end(task, gangEnd.get(), now);
      } else if (bestEffort ? run.workLeftMillis <= 0 : now >= run.endsAtMillis) {
        end(task, run.fails ? EndKind.FAILED : EndKind.DONE, now);
      } else if (now >= run.stopsAtMillis) {
        end(task, EndKind.STOPPED, now);
      }
    }
  }

  boolean runs(TaskId task) {
    return running.containsKey(task);
  }

  /** Returns the running tasks with their speed limits. */
  List<SimulatedInterference.ActiveTask> activeTasks() {
    List<SimulatedInterference.ActiveTask> shares = new ArrayList<>();
    running.forEach(
        (task, run) ->
            shares.add(
                new SimulatedInterference.ActiveTask(
                    task, run.spec, speedLimits.getOrDefault(task, 100) / 100.0)));
    return shares;
  }

  /** Advances the work of a best-effort task. */
  void work(TaskId task, double millis) {
    running.get(task).workLeftMillis -= millis;
  }

  private void end(TaskId task, EndKind kind, long now) {
    speedLimits.remove(task);
    ActiveRun run = running.remove(task);
    run.gang.ifPresent(gang -> gang.memberEnded(task, kind));
    highestEnded.merge(task, run.attempt, Math::max);
    boolean saved = resumesFromCheckpoint && run.spec.checkpointing() && kind == EndKind.STOPPED;
    String checkpoint = saved ? run.checkpoint() : "";
    ended.add(new WorkerReport.EndedTask(++lastEndedNumber, task, run.attempt, kind, checkpoint));
    oracle.ended(task, id, kind, endedRunName(lastEndedNumber), now);
  }

  /** Returns a unique name of an ended run, whose number is unique per incarnation only. */
  private String endedRunName(long number) {
    return id + "/" + startMillis + "/" + number;
  }

  /** Carries out an order and returns the answer. */
  OrderResult carryOut(Order order, long now, boolean fails) {
    boolean stopOrder = order instanceof Order.Stop || order instanceof Order.StopUntracked;
    boolean rejectable = order instanceof Order.Start || (stopOrder && unhealthyForStops);
    if (rejectable && now < unhealthyUntil) {
      return new OrderResult.Rejected(Rejection.UNHEALTHY);
    }
    if (order.fencingToken() < highestToken) {
      fencedOrders.add(order);
      return new OrderResult.Rejected(Rejection.FENCED);
    }
    highestToken = order.fencingToken();
    return switch (order) {
      case Order.Start start -> start(start, now, fails || failsAllRuns);
      case Order.Stop stop -> stop(stop.run().task().id(), stop.run().attempt(), now);
      case Order.StopUntracked stopUntracked ->
          stop(stopUntracked.task(), stopUntracked.attempt(), now);
      case Order.SetSpeedLimit speedLimit -> {
        if (running.containsKey(speedLimit.run().task().id())) {
          speedLimits.put(speedLimit.run().task().id(), speedLimit.percent());
        }
        yield new OrderResult.Accepted(clock(now));
      }
      case Order.Poll poll -> report(poll, now);
    };
  }

  private OrderResult start(Order.Start start, long now, boolean fails) {
    Run run = start.run();
    TaskId task = run.task().id();
    if (start.leaseUntilMillis() < clock(now)) {
      return new OrderResult.Rejected(Rejection.LATE);
    }
    extendLease(start.leaseUntilMillis(), now);
    if (running.containsKey(task) && running.get(task).attempt == run.attempt()) {
      return new OrderResult.Accepted(clock(now));
    }
    if (running.containsKey(task) || run.attempt() <= highestEnded.getOrDefault(task, 0L)) {
      return new OrderResult.Rejected(Rejection.OUTDATED);
    }
    StepSpec spec = run.task().step().spec();
    int allocatedCpuMillis =
        running.values().stream().mapToInt(r -> Worker.demand(r.spec).cpuMillis()).sum();
    if (allocatedCpuMillis + Worker.demand(spec).cpuMillis() > cpuMillis - unaccountedCpuMillis) {
      return new OrderResult.Rejected(Rejection.NO_ROOM);
    }
    double workMillis = spec.estimateMillis() * workToEstimateRatio.applyAsDouble(task);
    if (resumesFromCheckpoint && !run.startCheckpoint().isEmpty()) {
      workMillis = Long.parseLong(run.startCheckpoint());
    }
    long longRunningMillis = fails ? longRunningFailureMillis : Long.MAX_VALUE / 4;
    long durationMillis = spec.lasting() ? longRunningMillis : Math.round(workMillis);
    long endsAtMillis = spec.gang() ? Long.MAX_VALUE / 4 : now + durationMillis;
    ActiveRun startedRun = new ActiveRun(run.attempt(), spec, endsAtMillis, fails, workMillis);
    if (spec.gang()) {
      startedRun.gang = Optional.of(gangs.join(run, fails, now));
    }
    running.put(task, startedRun);
    startCount++;
    oracle.started(run, id, now);
    return new OrderResult.Accepted(clock(now));
  }

  private OrderResult stop(TaskId task, long attempt, long now) {
    ActiveRun run = running.get(task);
    if (run != null && run.attempt <= attempt) {
      run.stopsAtMillis = Math.min(run.stopsAtMillis, now + stopMillis);
      if (now >= run.stopsAtMillis) {
        end(task, EndKind.STOPPED, now);
      }
    }
    highestEnded.merge(task, attempt, Math::max);
    return new OrderResult.Accepted(clock(now));
  }

  private OrderResult report(Order.Poll poll, long now) {
    if (poll.leaseUntilMillis() > 0) {
      extendLease(poll.leaseUntilMillis(), now);
    }
    for (WorkerReport.EndedTask endedTask : ended) {
      if (endedTask.number() <= poll.acknowledgedUpTo()
          && endedTask.number() > neverAcknowledgedUpTo) {
        oracle.acknowledged(
            endedTask.task(), endedTask.kind(), endedRunName(endedTask.number()), now);
      }
    }
    ended.removeIf(endedTask -> endedTask.number() <= poll.acknowledgedUpTo());
    return reportNow(now);
  }

  /** Returns a report of the running and ended runs. */
  OrderResult reportNow(long now) {
    List<WorkerReport.RunningTask> runningTasks = new ArrayList<>();
    running.forEach(
        (task, run) ->
            runningTasks.add(
                new WorkerReport.RunningTask(
                    task,
                    run.attempt,
                    "",
                    100,
                    interference.map(model -> model.load(this, task, now)).orElse(0))));
    int listedCount = Math.min(ended.size(), WorkerReport.MAX_ENDED);
    return new OrderResult.Reported(
        new WorkerReport(clock(now), startMillis, runningTasks, ended.subList(0, listedCount)));
  }

  private void extendLease(long untilMillis, long now) {
    leaseUntil = Math.max(leaseUntil, Math.min(untilMillis, clock(now) + longestLeaseMillis));
  }

  /** Crashes the worker, which loses its state. */
  void crash(long now) {
    up = false;
    for (TaskId task : running.keySet()) {
      oracle.ended(task, id, EndKind.LAPSED, "", now);
      running.get(task).gang.ifPresent(gang -> gang.memberEnded(task, EndKind.LAPSED));
    }
    running.clear();
    ended.clear();
    highestEnded.clear();
    highestToken = 0;
    lastEndedNumber = 0;
    neverAcknowledgedUpTo = 0;
    leaseUntil = 0;
  }

  /** Restarts the worker under the same identifier at another address. */
  void restart(long now, String newAddress) {
    address = newAddress;
    restart(now);
  }

  /** Restarts the worker in place. */
  void restart(long now) {
    up = true;
    startMillis = now;
  }
}
