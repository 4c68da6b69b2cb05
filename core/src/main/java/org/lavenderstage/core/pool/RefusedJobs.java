package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the refused jobs and when their callers were told to return. The returns are spread so
 * that their work needs only a part of the capacity. A new owner starts without them, and decides
 * about a returning job as about a new one.
 */
final class RefusedJobs {
  /** Maximum number of remembered jobs; the oldest are forgotten first. */
  private static final int MAX_JOBS = 4_096;

  /** How long after its appointed time a return is still expected, in milliseconds. */
  private static final long MEMORY_MILLIS = 60_000;

  /** How much earlier than told a caller may return, by the clocks of both, in milliseconds. */
  private static final long TOLERANCE_MILLIS = 100;

  /** Callers are told whole seconds. */
  private static final long SECOND_MILLIS = 1_000;

  /** Fraction of the capacity that is promised to returning jobs; new ones have the rest. */
  private static final double RETURN_FRACTION = 0.2;

  /**
   * Longest expected wait that is told, in milliseconds; demand is not known further ahead. The
   * spread of the returns adds to it.
   */
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final Map<CapacityKind, Double> bookedUntilMillis = new HashMap<>();

  private final Map<String, Refusal> refusals =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Refusal> eldest) {
          return size() > MAX_JOBS;
        }
      };

  /**
   * A refused job.
   *
   * @param firstAttemptMillis monotonic time of the first attempt in milliseconds
   * @param returnMillis monotonic time from which its caller was told to return, in milliseconds
   */
  record Refusal(long firstAttemptMillis, long returnMillis) {
    boolean isReturnDue(long nowMillis) {
      return nowMillis >= returnMillis - TOLERANCE_MILLIS;
    }
  }

  Optional<Refusal> find(String job, long nowMillis) {
    return Optional.ofNullable(refusals.get(job))
        .filter(refusal -> nowMillis - refusal.returnMillis() <= MEMORY_MILLIS);
  }

  /** Adds a job and appoints its return after those of the jobs that were refused before. */
  Refusal add(
      String job, CapacityKind kind, AdmissionForecast.Prediction prediction, long nowMillis) {
    double freeMillis = nowMillis + Math.min(MAX_WAIT_MILLIS, prediction.expectedWaitMillis());
    double appointed = Math.max(freeMillis, bookedUntilMillis.getOrDefault(kind, freeMillis));
    double neededMillis =
        prediction.workCoreMillis() / (RETURN_FRACTION * prediction.capacityCores());
    bookedUntilMillis.put(kind, appointed + neededMillis);
    long waitSeconds = (long) Math.ceil((appointed - nowMillis) / SECOND_MILLIS);
    Refusal refusal = new Refusal(nowMillis, nowMillis + SECOND_MILLIS * Math.max(1, waitSeconds));
    refusals.put(job, refusal);
    return refusal;
  }

  void remove(String job) {
    refusals.remove(job);
  }

  int size() {
    return refusals.size();
  }
}
