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

/** A worker under a virtual clock that runs tasks under leases, as the platform's workers do. */
final class SimulatedWorker {
  static final int LEASE_MILLIS = 6_000;
  private static final double CLOCK_RATE = 0.98;

  final String id;
  String address;
  long born;
  boolean up = true;
  boolean disconnected;
  boolean draining;
  private final TaskOracle oracle;
  private final Map<TaskId, Running> running = new HashMap<>();
  private final Map<TaskId, Integer> highestEnded = new HashMap<>();
  private final List<WorkerReport.EndedTask> ended = new ArrayList<>();
  private long token;
  private long lastNumber;
  private long leaseUntil;

  /** Ends that were listed when the lease lapsed; by the platform's rules they are never noted. */
  private long voidUpTo;

  /** How tasks on one worker disturb each other; none unless a test sets it. */
  Optional<SimulatedInterference> interference = Optional.empty();

  /** Processors in thousandths of a core. */
  int cpuMillis = 8_000;

  /** Processors taken by something that the owner does not know of, in thousandths of a core. */
  int unaccountedCpuMillis;

  /** Until when the worker calls itself unhealthy and does nothing about starts. */
  long unhealthyUntil;

  /** Whether the worker does nothing about stops either while it calls itself unhealthy. */
  boolean unhealthyForStops;

  /** Longest lease that the worker grants, in milliseconds. */
  int longestLeaseMillis = LEASE_MILLIS;

  /** The gangs of all workers; alone unless a world shares them. */
  SimulatedGangs gangs = new SimulatedGangs();

  /** How long a stop takes, in milliseconds. */
  long stopMillis;

  /** Work of a task against its estimate. */
  ToDoubleFunction<TaskId> workToEstimateRatio = task -> 1;

  /** Whether a task that is stopped goes on elsewhere from where it was, if its step says so. */
  boolean resumesFromCheckpoint;

  private final Map<TaskId, Integer> paces = new HashMap<>();
  private long advancedTo;

  /** One run on this worker; a filling one ends when its work is done, others at a time. */
  private static final class Running {
    final int attempt;
    final StepSpec spec;
    final long endsAt;
    final boolean fails;
    double workLeftMillis;
    long stopsAt = Long.MAX_VALUE;
    Optional<SimulatedGangs.Gang> gang = Optional.empty();

    Running(int attempt, StepSpec spec, long endsAt, boolean fails, double workLeftMillis) {
      this.attempt = attempt;
      this.spec = spec;
      this.endsAt = endsAt;
      this.fails = fails;
      this.workLeftMillis = workLeftMillis;
    }

    /** Returns what the run leaves to the next one: the work that is still to do. */
    String checkpoint() {
      return Long.toString(Math.round(Math.max(0, workLeftMillis)));
    }
  }

  SimulatedWorker(int number, long born, TaskOracle oracle) {
    this.id = "w" + number;
    this.address = "10.0.0." + number + ":80";
    this.born = born;
    this.oracle = oracle;
  }

  WorkerListing listing() {
    return new WorkerListing(
        id,
        "service",
        address,
        "domain",
        "rack",
        Set.of("rack"),
        new Resources(cpuMillis, 256_000, 0),
        draining,
        born);
  }

  long clock(long now) {
    return Math.round((now - born) * CLOCK_RATE);
  }

  /** Ends what is due; called before anything else happens at a time. */
  void advance(long now) {
    if (!up) {
      return;
    }
    if (clock(now) > leaseUntil) {
      voidUpTo = lastNumber;
    }
    interference.ifPresent(model -> model.advance(this, now - advancedTo, now));
    advancedTo = now;
    for (TaskId task : List.copyOf(running.keySet())) {
      Running run = running.get(task);
      boolean fills = interference.isPresent() && run.spec.filling();
      Optional<EndKind> gangEnd = run.gang.flatMap(gang -> gang.endOf(task, now));
      if (clock(now) > leaseUntil) {
        end(task, EndKind.LAPSED, now);
      } else if (gangEnd.isPresent()) {
        end(task, gangEnd.get(), now);
      } else if (fills ? run.workLeftMillis <= 0 : now >= run.endsAt) {
        end(task, run.fails ? EndKind.FAILED : EndKind.DONE, now);
      } else if (now >= run.stopsAt) {
        end(task, EndKind.STOPPED, now);
      }
    }
  }

  boolean runs(TaskId task) {
    return running.containsKey(task);
  }

  /** Returns what runs here, with the pace of each. */
  List<SimulatedInterference.ActiveTask> shares() {
    List<SimulatedInterference.ActiveTask> shares = new ArrayList<>();
    running.forEach(
        (task, run) ->
            shares.add(
                new SimulatedInterference.ActiveTask(
                    task, run.spec, paces.getOrDefault(task, 100) / 100.0)));
    return shares;
  }

  /** Lets a filling task do some of its work. */
  void work(TaskId task, double millis) {
    running.get(task).workLeftMillis -= millis;
  }

  private void end(TaskId task, EndKind kind, long now) {
    paces.remove(task);
    Running run = running.remove(task);
    run.gang.ifPresent(gang -> gang.memberEnded(task, kind));
    highestEnded.merge(task, run.attempt, Math::max);
    boolean saved = resumesFromCheckpoint && run.spec.checkpointing() && kind == EndKind.STOPPED;
    String checkpoint = saved ? run.checkpoint() : "";
    ended.add(new WorkerReport.EndedTask(++lastNumber, task, run.attempt, kind, checkpoint));
    oracle.ended(task, id, kind, nameOf(lastNumber), now);
  }

  /** Names an end for good: its number begins anew in each life. */
  private String nameOf(long number) {
    return id + "/" + born + "/" + number;
  }

  /** Carries an order out and returns the answer. */
  OrderResult carryOut(Order order, long term, long now, boolean fails) {
    boolean stops = order instanceof Order.Stop || order instanceof Order.StopUntracked;
    boolean refused = order instanceof Order.Start || (stops && unhealthyForStops);
    if (refused && now < unhealthyUntil) {
      return new OrderResult.Rejected(Rejection.UNHEALTHY);
    }
    if (term < token) {
      return new OrderResult.Rejected(Rejection.FENCED);
    }
    token = term;
    return switch (order) {
      case Order.Start start -> start(start, now, fails);
      case Order.Stop stop -> stop(stop.run().task().id(), stop.run().attempt(), now);
      case Order.StopUntracked stray -> stop(stray.task(), stray.attempt(), now);
      case Order.SetSpeedLimit pace -> {
        if (running.containsKey(pace.run().task().id())) {
          paces.put(pace.run().task().id(), pace.percent());
        }
        yield new OrderResult.Accepted(clock(now));
      }
      case Order.Poll hold -> report(hold, now);
    };
  }

  private OrderResult start(Order.Start start, long now, boolean fails) {
    Run run = start.run();
    TaskId task = run.task().id();
    if (start.leaseUntilMillis() < clock(now)) {
      return new OrderResult.Rejected(Rejection.LATE);
    }
    extend(start.leaseUntilMillis(), now);
    if (running.containsKey(task) && running.get(task).attempt == run.attempt()) {
      return new OrderResult.Accepted(clock(now));
    }
    if (running.containsKey(task) || run.attempt() <= highestEnded.getOrDefault(task, 0)) {
      return new OrderResult.Rejected(Rejection.OUTDATED);
    }
    StepSpec spec = run.task().step().spec();
    int used = running.values().stream().mapToInt(r -> Worker.demand(r.spec).cpuMillis()).sum();
    if (used + Worker.demand(spec).cpuMillis() > cpuMillis - unaccountedCpuMillis) {
      return new OrderResult.Rejected(Rejection.NO_ROOM);
    }
    double work = spec.estimateMillis() * workToEstimateRatio.applyAsDouble(task);
    if (resumesFromCheckpoint && !run.startCheckpoint().isEmpty()) {
      work = Long.parseLong(run.startCheckpoint());
    }
    long length = spec.lasting() ? Long.MAX_VALUE / 4 : Math.round(work);
    long endsAt = spec.gang() ? Long.MAX_VALUE / 4 : now + length;
    Running begun = new Running(run.attempt(), spec, endsAt, fails, work);
    if (spec.gang()) {
      begun.gang = Optional.of(gangs.join(run, fails, now));
    }
    running.put(task, begun);
    oracle.started(run, id, now);
    return new OrderResult.Accepted(clock(now));
  }

  private OrderResult stop(TaskId task, int attempt, long now) {
    Running run = running.get(task);
    if (run != null && run.attempt <= attempt) {
      run.stopsAt = Math.min(run.stopsAt, now + stopMillis);
      if (now >= run.stopsAt) {
        end(task, EndKind.STOPPED, now);
      }
    }
    highestEnded.merge(task, attempt, Math::max);
    return new OrderResult.Accepted(clock(now));
  }

  private OrderResult report(Order.Poll hold, long now) {
    if (hold.leaseUntilMillis() > 0) {
      extend(hold.leaseUntilMillis(), now);
    }
    for (WorkerReport.EndedTask end : ended) {
      if (end.number() <= hold.acknowledgedUpTo() && end.number() > voidUpTo) {
        oracle.noted(end.task(), end.kind(), nameOf(end.number()), now);
      }
    }
    ended.removeIf(end -> end.number() <= hold.acknowledgedUpTo());
    return reportNow(now);
  }

  /** Reports what runs and what has ended. */
  OrderResult reportNow(long now) {
    List<WorkerReport.RunningTask> rows = new ArrayList<>();
    running.forEach(
        (task, run) ->
            rows.add(
                new WorkerReport.RunningTask(
                    task,
                    run.attempt,
                    "",
                    100,
                    interference.map(model -> model.load(this, task, now)).orElse(0))));
    int listed = Math.min(ended.size(), WorkerReport.MAX_ENDED);
    return new OrderResult.Reported(
        new WorkerReport(clock(now), born, rows, ended.subList(0, listed)));
  }

  private void extend(long until, long now) {
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock(now) + longestLeaseMillis));
  }

  /** Loses everything, as in a crash. */
  void crash(long now) {
    up = false;
    for (TaskId task : running.keySet()) {
      oracle.ended(task, id, EndKind.LAPSED, "", now);
      running.get(task).gang.ifPresent(gang -> gang.memberEnded(task, EndKind.LAPSED));
    }
    running.clear();
    ended.clear();
    highestEnded.clear();
    token = 0;
    lastNumber = 0;
    voidUpTo = 0;
    leaseUntil = 0;
  }

  /** Starts again under the same identifier at another address. */
  void restart(long now, String elsewhere) {
    address = elsewhere;
    restart(now);
  }

  /** Starts again in place. */
  void restart(long now) {
    up = true;
    born = now;
  }
}
