package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lavenderstage.core.job.JobStep;

/**
 * Tracks how the latest runs on a worker ended. A worker on which several runs in a row fail is
 * quarantined for a while, twice as long each time; a success resets that. Failures that turn out
 * to be the fault of their step ({@link FailureAttribution}) are forgiven.
 */
final class RunHistory {
  /** Consecutive failures before quarantine; one failure may be the fault of its task. */
  private static final int FAILURES_TO_QUARANTINE = 2;

  /** Duration of the first quarantine in milliseconds; about the run time of a short task. */
  private static final long INITIAL_QUARANTINE_MILLIS = 1_000;

  /** Longest quarantine in milliseconds, so that a recovered worker is used again soon. */
  private static final long MAX_QUARANTINE_MILLIS = 4_000;

  /** The steps of the latest consecutive failures, no more than lead to a quarantine. */
  private final Deque<JobStep> failedSteps = new ArrayDeque<>(FAILURES_TO_QUARANTINE);

  private long quarantineMillis = INITIAL_QUARANTINE_MILLIS;
  private long quarantinedUntilMillis = Long.MIN_VALUE;
  private boolean rejectsStarts;

  /** Records a run that succeeded. */
  void recordSuccess() {
    failedSteps.clear();
    quarantineMillis = INITIAL_QUARANTINE_MILLIS;
  }

  /**
   * Records a run that failed.
   *
   * @return how long the worker is quarantined in milliseconds, 0 for not at all
   */
  long recordFailure(JobStep step, long nowMillis) {
    if (failedSteps.size() == FAILURES_TO_QUARANTINE) {
      failedSteps.removeFirst();
    }
    failedSteps.add(step);
    if (failedSteps.size() < FAILURES_TO_QUARANTINE) {
      return 0;
    }
    long currentMillis = quarantineMillis;
    quarantinedUntilMillis = Math.max(quarantinedUntilMillis, nowMillis + currentMillis);
    quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * quarantineMillis);
    return currentMillis;
  }

  /** Forgets the failures of a step, and ends the quarantine that they led to. */
  void forgive(JobStep step) {
    boolean changed = failedSteps.removeIf(failed -> failed == step);
    if (changed && failedSteps.size() < FAILURES_TO_QUARANTINE) {
      quarantinedUntilMillis = Long.MIN_VALUE;
      quarantineMillis = INITIAL_QUARANTINE_MILLIS;
    }
  }

  /** Returns whether the worker gets no runs since several have failed on it. */
  boolean isQuarantined(long nowMillis) {
    return nowMillis < quarantinedUntilMillis;
  }

  /** Records whether the worker rejected or ignored the latest start as if it were unhealthy. */
  void recordStartRejected(boolean rejected) {
    rejectsStarts = rejected;
  }

  /** Returns whether the latest failures include one of another step. */
  boolean hasFailureOfOther(JobStep step) {
    return failedSteps.stream().anyMatch(failed -> failed != step);
  }

  /** Returns whether the latest run failed or the latest start was not carried out. */
  boolean isSuspect() {
    return !failedSteps.isEmpty() || rejectsStarts;
  }
}
