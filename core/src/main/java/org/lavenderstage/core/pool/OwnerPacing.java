package org.lavenderstage.core.pool;

/**
 * Adapts the owner's pauses to the time that its steps take, so that an owner with little processor
 * time handles more events in each step and each batch. Used by one thread.
 */
public final class OwnerPacing {
  /** Weight of the latest step in the mean duration. */
  private static final double STEP_WEIGHT = 0.125;

  /**
   * Shortest pause between steps to collect events, in milliseconds; less than a network round
   * trip.
   */
  private static final long MIN_PAUSE_MILLIS = 4;

  /**
   * Longest pause between steps, in milliseconds; short compared to the time that callers wait for
   * an answer.
   */
  private static final long MAX_PAUSE_MILLIS = 50;

  /** Time between two batches of changes that nothing waits for, in mean durations of a step. */
  private static final int STEPS_PER_BATCH_INTERVAL = 8;

  /**
   * Longest time between two batches of changes that nothing waits for, in milliseconds; short
   * compared to the run of a task.
   */
  private static final long MAX_BATCH_INTERVAL_MILLIS = 100;

  private double meanStepMillis;

  /**
   * Records the duration of a step without the pause after it.
   *
   * @param millis duration in milliseconds, including the time without a processor
   */
  public void recordStep(double millis) {
    meanStepMillis += STEP_WEIGHT * (millis - meanStepMillis);
  }

  /**
   * Returns the pause before the next step; it is about as long as the step, so that the threads
   * that serve callers and workers get processor time.
   *
   * @return the pause in milliseconds
   */
  public long pauseMillis() {
    return Math.clamp(Math.round(meanStepMillis), MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
  }

  /**
   * Returns the minimum time between two batches of changes that neither a caller nor a worker
   * waits for.
   *
   * @return the time in milliseconds
   */
  public long batchIntervalMillis() {
    long interval = Math.round(STEPS_PER_BATCH_INTERVAL * meanStepMillis);
    return Math.min(interval, MAX_BATCH_INTERVAL_MILLIS);
  }
}
