package org.lavenderstage.bench.request;

import java.util.Arrays;
import java.util.List;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;

/** Scenario 2: one executor becomes five times slower, one responds with 503, one is removed. */
final class FaultyExecutorsScenario implements Scenario {
  private static final double LOAD = 0.7;
  private static final double SLOW_FACTOR = 5;
  private static final int SLOW = 3;
  private static final int FAILING = 11;
  private static final int LEAVING = 20;
  private static final long LIST_LAG_NANOS = 2_000_000_000L;
  private static final long LEAVE_LIMIT_NANOS = 3_000_000_000L;
  private static final long FAULT_NANOS = Deployment.START_NANOS + 15_000_000_000L;
  private static final long SETTLE_NANOS = 5_000_000_000L;
  private static final long END_NANOS = FAULT_NANOS + 25_000_000_000L;
  private static final double TARGET = 1.3;

  @Override
  public int number() {
    return 2;
  }

  @Override
  public String title() {
    return "one slow, one failing, one leaving executor";
  }

  @Override
  public List<Measure> run(long seed) {
    double[] weights = new double[Deployment.ENTRIES];
    Arrays.fill(weights, 1);
    List<Arrival> arrivals =
        new ArrivalPlan(seed)
            .arrivals(
                List.of(
                    new ArrivalPlan.Stream(
                        "w", 1, LOAD * Deployment.ALL_SLOTS, Deployment.START_NANOS, END_NANOS)),
                weights);
    Result two = run(PolicyKind.LEAST_OF_TWO, seed, arrivals, true);
    Result twoHealthy = run(PolicyKind.LEAST_OF_TWO, seed, arrivals, false);
    Result shared = run(PolicyKind.SHARED, seed, arrivals, true);
    Result sharedHealthy = run(PolicyKind.SHARED, seed, arrivals, false);
    return List.of(
        atMost(
            "p99 / healthy run from 5 s on",
            two.p99() / twoHealthy.p99(),
            shared.p99() / sharedHealthy.p99(),
            TARGET),
        atMost(
            "arrivals at the leaving one after 3 s", two.lateArrivals(), shared.lateArrivals(), 0),
        atMost("ninth requests", two.overLimit(), shared.overLimit(), 0),
        atMost("refused calls from 5 s on", two.refused(), shared.refused(), 0));
  }

  private static Measure atMost(String name, double baseline, double figure, double bound) {
    return new Measure(name, baseline, figure, bound, Measure.Sense.AT_MOST);
  }

  private static Result run(
      PolicyKind kind, long seed, List<Arrival> arrivals, boolean withFaults) {
    LatencyLog log = LatencyLog.between(FAULT_NANOS + SETTLE_NANOS, END_NANOS);
    Deployment deployment = new Deployment(kind, seed, log);
    if (withFaults) {
      deployment.executor(LEAVING).countArrivalsAfter(FAULT_NANOS + LEAVE_LIMIT_NANOS);
      deployment.loop().schedule(FAULT_NANOS, () -> fault(deployment));
    }
    deployment.scheduleArrivals(arrivals);
    deployment.loop().runUntil(END_NANOS + SETTLE_NANOS);
    return new Result(
        log.p99Millis(),
        deployment.executor(LEAVING).arrivalsAfterLimit(),
        deployment.overLimitRequests(),
        log.refused());
  }

  private static void fault(Deployment deployment) {
    deployment.executor(SLOW).slowDown(SLOW_FACTOR);
    deployment.executor(FAILING).fail();
    deployment.startLeaving(LEAVING, LIST_LAG_NANOS);
  }

  private record Result(double p99, double lateArrivals, double overLimit, double refused) {}
}
