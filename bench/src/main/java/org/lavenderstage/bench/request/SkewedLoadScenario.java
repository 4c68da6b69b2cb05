package org.lavenderstage.bench.request;

import java.util.Arrays;
import java.util.List;
import org.lavenderstage.bench.policy.Measure;
import org.lavenderstage.bench.policy.Scenario;

/** Scenario 1: 80 % load, and one entry receives three times as many callers as the others. */
final class SkewedLoadScenario implements Scenario {
  private static final double LOAD = 0.8;
  private static final double SKEW = 3;
  private static final long WARM_UP_NANOS = 5_000_000_000L;
  private static final long RUN_NANOS = 25_000_000_000L;
  private static final double TARGET = 1.2;

  @Override
  public int number() {
    return 1;
  }

  @Override
  public String title() {
    return "80 % load, one entry with 3 x its callers";
  }

  @Override
  public List<Measure> run(long seed) {
    double[] weights = new double[Deployment.ENTRIES];
    Arrays.fill(weights, 1);
    weights[0] = SKEW;
    long end = Deployment.START_NANOS + WARM_UP_NANOS + RUN_NANOS;
    List<Arrival> arrivals =
        new ArrivalPlan(seed)
            .arrivals(
                List.of(
                    new ArrivalPlan.Stream(
                        "w", 1, LOAD * Deployment.ALL_SLOTS, Deployment.START_NANOS, end)),
                weights);
    Result central = run(PolicyKind.CENTRAL, seed, arrivals, end);
    Result random = run(PolicyKind.RANDOM, seed, arrivals, end);
    Result robin = run(PolicyKind.ROUND_ROBIN, seed, arrivals, end);
    Result two = run(PolicyKind.LEAST_OF_TWO, seed, arrivals, end);
    Result shared = run(PolicyKind.SHARED, seed, arrivals, end);
    return List.of(
        ratio("p99 / central queue (baseline: random)", random, shared, central, TARGET),
        ratio("p99 / random (baseline: random)", random, shared, random, 1),
        ratio("p99 / round robin (baseline: round robin)", robin, shared, robin, 1),
        ratio("p99 / least of two (baseline: central)", central, shared, two, 1),
        atMost("ninth requests (baseline: least of two)", two.overLimit(), shared.overLimit(), 0),
        atMost("calls refused (baseline: least of two)", two.refused(), shared.refused(), 0));
  }

  private static Measure ratio(
      String name, Result baseline, Result candidate, Result unit, double bound) {
    return atMost(name, baseline.p99() / unit.p99(), candidate.p99() / unit.p99(), bound);
  }

  private static Measure atMost(String name, double baseline, double figure, double bound) {
    return new Measure(name, baseline, figure, bound, Measure.Sense.AT_MOST);
  }

  private static Result run(PolicyKind kind, long seed, List<Arrival> arrivals, long end) {
    LatencyLog log = LatencyLog.between(Deployment.START_NANOS + WARM_UP_NANOS, end);
    Deployment deployment = new Deployment(kind, seed, log);
    deployment.scheduleArrivals(arrivals);
    deployment.loop().runUntil(end + WARM_UP_NANOS);
    return new Result(log.p99Millis(), deployment.overLimitRequests(), log.refused());
  }

  private record Result(double p99, double overLimit, double refused) {}
}
