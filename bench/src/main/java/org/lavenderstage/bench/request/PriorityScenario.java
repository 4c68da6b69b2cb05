package org.lavenderstage.bench.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;
import org.lavenderstage.core.admission.AdmissionQueue;

/** Scenario 4: priorities, fairness between workspaces, and a workspace that floods the entries. */
final class PriorityScenario implements Scenario {
  private static final long FROM_NANOS = Deployment.START_NANOS + 3_000_000_000L;
  private static final long END_NANOS = FROM_NANOS + 12_000_000_000L;
  private static final long SETTLE_NANOS = 5_000_000_000L;
  private static final double[] FAIR_LOADS = {0.6, 0.6, 0.9, 1.2};
  private static final double[] RANK_LOADS = {0.6, 0.6, 0.3};
  private static final double VICTIM_LOAD = 0.15;
  private static final double QUIET_LOAD = 0.15;
  private static final double FLOOD_LOAD = 2;
  private static final int VICTIMS = 3;

  @Override
  public int number() {
    return 4;
  }

  @Override
  public String title() {
    return "order of need";
  }

  @Override
  public List<Measure> run(long seed) {
    double maxInversions = 1.0 / AdmissionQueue.LOWEST_RANK_TURN_INTERVAL;
    InversionLog fifo = inversions(PolicyKind.LEAST_OF_TWO, seed);
    InversionLog prioritized = inversions(PolicyKind.SHARED, seed);
    double fifoFlood = floodRatio(PolicyKind.LEAST_OF_TWO, seed);
    return List.of(
        atMost(
            "lower rank first at an entry, part", fifo.local(), prioritized.local(), maxInversions),
        atMost(
            "lower rank first anywhere, part",
            fifo.anywhere(),
            prioritized.anywhere(),
            maxInversions),
        atMost(
            "share's largest distance from the mean",
            unfairness(PolicyKind.LEAST_OF_TWO, seed),
            unfairness(PolicyKind.SHARED, seed),
            0.05),
        atMost(
            "p99 of others under a flood / without",
            fifoFlood,
            floodRatio(PolicyKind.SHARED, seed),
            1.1));
  }

  private static Measure atMost(String name, double baseline, double figure, double bound) {
    return new Measure(name, baseline, figure, bound, Measure.Sense.AT_MOST);
  }

  private static ArrivalPlan.Stream stream(String workspace, int rank, double load) {
    return new ArrivalPlan.Stream(
        workspace, rank, load * Deployment.ALL_SLOTS, Deployment.START_NANOS, END_NANOS);
  }

  private static void run(
      PolicyKind kind, long seed, List<ArrivalPlan.Stream> streams, CallLog log) {
    double[] weights = new double[Deployment.ENTRIES];
    Arrays.fill(weights, 1);
    Deployment deployment = new Deployment(kind, seed, log);
    if (log instanceof InversionLog inversions) {
      inversions.deployment = deployment;
    }
    deployment.scheduleArrivals(new ArrivalPlan(seed).arrivals(streams, weights));
    deployment.loop().runUntil(END_NANOS + SETTLE_NANOS);
  }

  private static InversionLog inversions(PolicyKind kind, long seed) {
    List<ArrivalPlan.Stream> streams = new ArrayList<>();
    for (int i = 0; i < RANK_LOADS.length; i++) {
      streams.add(stream("w" + i, i + 1, RANK_LOADS[i]));
    }
    InversionLog log = new InversionLog();
    run(kind, seed, streams, log);
    return log;
  }

  private static double unfairness(PolicyKind kind, long seed) {
    List<ArrivalPlan.Stream> streams = new ArrayList<>();
    for (int i = 0; i < FAIR_LOADS.length; i++) {
      streams.add(stream("w" + i, 1, FAIR_LOADS[i]));
    }
    FairnessLog log = new FairnessLog();
    run(kind, seed, streams, log);
    return log.maxDeviation();
  }

  private static double floodRatio(PolicyKind kind, long seed) {
    return victimP99(kind, seed, FLOOD_LOAD) / victimP99(kind, seed, QUIET_LOAD);
  }

  private static double victimP99(PolicyKind kind, long seed, double floodLoad) {
    List<ArrivalPlan.Stream> streams = new ArrayList<>();
    for (int i = 0; i < VICTIMS; i++) {
      streams.add(stream("victim" + i, 1, VICTIM_LOAD));
    }
    streams.add(stream("flood", 1, floodLoad));
    LatencyLog log =
        new LatencyLog(
            call -> call.atNanos >= FROM_NANOS && call.arrival.workspace().startsWith("victim"));
    run(kind, seed, streams, log);
    return log.p99Millis();
  }

  /** Counts priority inversions: requests that are sent while one of a higher rank waits. */
  private static final class InversionLog implements CallLog {
    private Deployment deployment;
    private long sent;
    private long local;
    private long anywhere;

    @Override
    public void sent(FakeEntry entry, Call call) {
      sent++;
      int rank = call.arrival.rank();
      local += entry.scheduler().waitingAbove(rank) > 0 ? 1 : 0;
      for (FakeEntry other : deployment.entries()) {
        if (other.scheduler().waitingAbove(rank) > 0) {
          anywhere++;
          return;
        }
      }
    }

    @Override
    public void answered(Call call, long nowNanos) {}

    @Override
    public void refused(Call call, long nowNanos, long retryAfterNanos) {}

    double local() {
      return (double) local / sent;
    }

    double anywhere() {
      return (double) anywhere / sent;
    }
  }

  /** Counts the requests of each workspace that were answered before their deadline. */
  private static final class FairnessLog implements CallLog {
    private final Map<String, Integer> served = new TreeMap<>();

    @Override
    public void answered(Call call, long nowNanos) {
      if (nowNanos >= FROM_NANOS && nowNanos < END_NANOS && nowNanos <= call.deadlineNanos()) {
        served.merge(call.arrival.workspace(), 1, Integer::sum);
      }
    }

    @Override
    public void refused(Call call, long nowNanos, long retryAfterNanos) {}

    double maxDeviation() {
      double mean =
          served.values().stream().mapToInt(Integer::intValue).sum() / (double) FAIR_LOADS.length;
      double worst = served.size() < FAIR_LOADS.length ? 1 : 0;
      for (int count : served.values()) {
        worst = Math.max(worst, Math.abs(count / mean - 1));
      }
      return worst;
    }
  }
}
