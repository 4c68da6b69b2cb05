package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the workers that fail what others run. A worker is quarantined after several distinct jobs
 * in a row failed on it; it then gets one probe at a time, and is released when probes succeed. A
 * failure is forgiven when its job fails on another worker too.
 */
public final class WorkerHealth {
  private static final int FAILURES_TO_QUARANTINE = 3;
  private static final int PROBES_TO_RELEASE = 2;

  private final long probeIntervalMillis;
  private final Map<String, Condition> conditions = new HashMap<>();
  private final Map<String, Set<String>> failedOn = new HashMap<>();

  /**
   * Makes a registry in which every worker is healthy.
   *
   * @param probeIntervalMillis shortest time between two probes of a worker in milliseconds
   */
  public WorkerHealth(long probeIntervalMillis) {
    this.probeIntervalMillis = probeIntervalMillis;
  }

  /**
   * Takes in the end of an attempt that ran to its end.
   *
   * @param job identifier of the job
   * @param worker worker of the attempt
   */
  public void succeeded(String job, String worker) {
    failedOn.remove(job);
    Condition condition = condition(worker);
    condition.failedJobs.clear();
    condition.proven = true;
    condition.probesPassed++;
    if (condition.probesPassed >= PROBES_TO_RELEASE) {
      condition.quarantined = false;
    }
  }

  /**
   * Takes in the end of an attempt that failed.
   *
   * @param job identifier of the job
   * @param worker worker of the attempt
   */
  public void failed(String job, String worker) {
    Set<String> earlier = failedOn.computeIfAbsent(job, key -> new HashSet<>());
    boolean jobIsSuspect =
        earlier.stream().anyMatch(other -> !other.equals(worker) && condition(other).proven);
    earlier.add(worker);
    Condition condition = condition(worker);
    condition.probesPassed = 0;
    if (jobIsSuspect) {
      earlier.forEach(other -> condition(other).failedJobs.remove(job));
      return;
    }
    condition.failedJobs.add(job);
    if (condition.failedJobs.size() >= FAILURES_TO_QUARANTINE) {
      condition.quarantined = true;
      condition.proven = false;
    }
  }

  /**
   * Forgets the failures of jobs that have ended for good.
   *
   * @param isLive tells of a job whether it may still run
   */
  public void retainJobs(Predicate<String> isLive) {
    failedOn.keySet().removeIf(isLive.negate());
  }

  private Condition condition(String worker) {
    return conditions.computeIfAbsent(worker, key -> new Condition());
  }

  /**
   * Tells whether a worker gets probes only.
   *
   * @param worker identifier of the worker
   * @return whether it is quarantined
   */
  public boolean isQuarantined(String worker) {
    Condition condition = conditions.get(worker);
    return condition != null && condition.quarantined;
  }

  /**
   * Tells whether a worker ran a task to its end and has not failed several since.
   *
   * @param worker identifier of the worker
   * @return whether a job that failed elsewhere may be tried on it
   */
  public boolean isProven(String worker) {
    Condition condition = conditions.get(worker);
    return condition != null && condition.proven && condition.failedJobs.isEmpty();
  }

  /**
   * Tells whether a quarantined worker may get a probe.
   *
   * @param worker identifier of the worker
   * @param nowMillis time in milliseconds
   * @return whether the last probe is long enough ago
   */
  public boolean isProbeDue(String worker, long nowMillis) {
    Condition condition = condition(worker);
    return nowMillis - condition.lastProbeMillis >= probeIntervalMillis;
  }

  /**
   * Notes that a probe is placed.
   *
   * @param worker identifier of the worker
   * @param nowMillis time in milliseconds
   */
  public void probe(String worker, long nowMillis) {
    condition(worker).lastProbeMillis = nowMillis;
  }

  /** What is known of one worker. */
  private static final class Condition {
    private final Set<String> failedJobs = new HashSet<>();
    private boolean quarantined;
    private boolean proven;
    private int probesPassed;
    private long lastProbeMillis = Long.MIN_VALUE / 2;
  }
}
