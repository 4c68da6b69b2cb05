package org.lavenderstage.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Detects faulty workers: those on which jobs fail that succeed elsewhere. A worker is quarantined
 * after several distinct jobs have failed on it without a success in between. It then receives one
 * probe task at a time, and is released after several probes have succeeded. The failures of a job
 * do not count against any worker once it has failed on a proven worker and then on another.
 */
public final class WorkerHealth {
  private static final int FAILURES_TO_QUARANTINE = 3;
  private static final int PROBES_TO_RELEASE = 2;

  private final long probeIntervalMillis;
  private final Map<String, Health> healthByWorker = new HashMap<>();
  private final Map<String, Set<String>> failedWorkersByJob = new HashMap<>();

  /**
   * Creates a registry in which every worker is healthy.
   *
   * @param probeIntervalMillis the minimum time between two probes of a worker, in milliseconds
   */
  public WorkerHealth(long probeIntervalMillis) {
    this.probeIntervalMillis = probeIntervalMillis;
  }

  /**
   * Records that an attempt completed successfully.
   *
   * @param job the identifier of the job
   * @param worker the identifier of the worker that ran the attempt
   */
  public void recordSuccess(String job, String worker) {
    failedWorkersByJob.remove(job);
    Health health = health(worker);
    health.failedJobs.clear();
    health.proven = true;
    health.probesPassed++;
    if (health.probesPassed >= PROBES_TO_RELEASE) {
      health.quarantined = false;
    }
  }

  /**
   * Records that an attempt failed.
   *
   * @param job the identifier of the job
   * @param worker the identifier of the worker that ran the attempt
   */
  public void recordFailure(String job, String worker) {
    Set<String> failedWorkers = failedWorkersByJob.computeIfAbsent(job, key -> new HashSet<>());
    boolean failsElsewhere =
        failedWorkers.stream().anyMatch(other -> !other.equals(worker) && health(other).proven);
    failedWorkers.add(worker);
    Health health = health(worker);
    health.probesPassed = 0;
    if (failsElsewhere) {
      failedWorkers.forEach(other -> health(other).failedJobs.remove(job));
      return;
    }
    health.failedJobs.add(job);
    if (health.failedJobs.size() >= FAILURES_TO_QUARANTINE) {
      health.quarantined = true;
      health.proven = false;
    }
  }

  /**
   * Removes the recorded failures of jobs that have reached a final state.
   *
   * @param isLive returns whether the job with a given identifier may still run
   */
  public void retainJobs(Predicate<String> isLive) {
    failedWorkersByJob.keySet().removeIf(isLive.negate());
  }

  private Health health(String worker) {
    return healthByWorker.computeIfAbsent(worker, key -> new Health());
  }

  /**
   * Returns whether a worker is quarantined, so that it receives only probe tasks.
   *
   * @param worker the identifier of the worker
   * @return whether the worker is quarantined
   */
  public boolean isQuarantined(String worker) {
    Health health = healthByWorker.get(worker);
    return health != null && health.quarantined;
  }

  /**
   * Returns whether a worker is proven: a task has succeeded on it and none has failed since,
   * except for tasks that also failed elsewhere.
   *
   * @param worker the identifier of the worker
   * @return whether a job that failed elsewhere may be retried on the worker
   */
  public boolean isProven(String worker) {
    Health health = healthByWorker.get(worker);
    return health != null && health.proven && health.failedJobs.isEmpty();
  }

  /**
   * Returns whether a quarantined worker is due for a probe.
   *
   * @param worker the identifier of the worker
   * @param nowMillis the current time in milliseconds
   * @return whether the probe interval has passed since the last probe
   */
  public boolean isProbeDue(String worker, long nowMillis) {
    Health health = health(worker);
    return nowMillis - health.lastProbeMillis >= probeIntervalMillis;
  }

  /**
   * Records that a probe task was placed on a worker.
   *
   * @param worker the identifier of the worker
   * @param nowMillis the current time in milliseconds
   */
  public void recordProbe(String worker, long nowMillis) {
    health(worker).lastProbeMillis = nowMillis;
  }

  /** The health of one worker. */
  private static final class Health {
    private final Set<String> failedJobs = new HashSet<>();
    private boolean quarantined;
    private boolean proven;
    private int probesPassed;
    private long lastProbeMillis = Long.MIN_VALUE / 2;
  }
}
