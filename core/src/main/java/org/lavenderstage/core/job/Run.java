package org.lavenderstage.core.job;

/** One run of a task on one worker, from the start order until the end of the run is known. */
public final class Run {
  /** The state of a run as the owner knows it. */
  public enum State {
    /** The start order was sent; whether the task runs is not known. */
    STARTING,
    /** The worker has confirmed the run. */
    RUNNING,
    /** The stop order was sent or will be sent. */
    STOPPING,
    /** The worker rejected the run as outdated; its next report shows whether the task ran. */
    DOUBTFUL
  }

  private static final int FULL_SPEED_PERCENT = 100;

  /** Utilization assumed for a serving task before its first report: half of its capacity. */
  public static final double ASSUMED_UTILIZATION = 0.5;

  private final Task task;
  private final long attempt;
  private final String worker;
  private final String startCheckpoint;
  private State state;
  private long stateSinceMillis;
  private boolean orderInFlight;
  private long nextOrderAtMillis;
  private int progressPercent = -1;
  private int load;
  private int speedLimitPercent = 100;
  private long speedLimitSinceMillis;
  private boolean speedLimitUncertain;
  private int maxSpeedPercent = FULL_SPEED_PERCENT;
  private int startsSent;
  private boolean onlyStartCarriedOut;
  private int unansweredStarts;
  private long startLeaseUntilMillis;
  private long startLeaseIncarnation;

  /**
   * Creates a run that is about to be started or was reported by a worker.
   *
   * @param task the task
   * @param attempt number of the run
   * @param worker identifier of the worker
   * @param state initial state: starting, or running if the worker reported the run
   * @param monotonicMillis monotonic time in milliseconds
   */
  public Run(Task task, long attempt, String worker, State state, long monotonicMillis) {
    this.task = task;
    this.attempt = attempt;
    this.worker = worker;
    this.startCheckpoint = task.checkpoint();
    changeState(state, monotonicMillis);
    task.recordAttempt(attempt);
  }

  /**
   * Returns the task.
   *
   * @return the task
   */
  public Task task() {
    return task;
  }

  /**
   * Returns the number of the run.
   *
   * @return the attempt
   */
  public long attempt() {
    return attempt;
  }

  /**
   * Returns the worker of the run.
   *
   * @return identifier of the worker
   */
  public String worker() {
    return worker;
  }

  /**
   * Returns the checkpoint that the run starts from. Each copy of the start order contains the same
   * one.
   *
   * @return the checkpoint, empty for none
   */
  public String startCheckpoint() {
    return startCheckpoint;
  }

  /**
   * Returns the state of the run.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns when the run entered its state.
   *
   * @return monotonic time in milliseconds
   */
  public long stateSinceMillis() {
    return stateSinceMillis;
  }

  /**
   * Changes the state of the run.
   *
   * @param next the new state
   * @param monotonicMillis monotonic time in milliseconds
   */
  public void changeState(State next, long monotonicMillis) {
    state = next;
    stateSinceMillis = monotonicMillis;
    nextOrderAtMillis = monotonicMillis;
  }

  /**
   * Returns whether an order for this run may be sent.
   *
   * @param monotonicMillis monotonic time in milliseconds
   * @return whether no order is in flight and the pause after the last one is over
   */
  public boolean isOrderDue(long monotonicMillis) {
    return !orderInFlight && monotonicMillis >= nextOrderAtMillis;
  }

  /**
   * Records that a copy of the start order was sent.
   *
   * @param leaseUntilMillis end of the lease in the order, in milliseconds on the worker's clock
   * @param workerStartedAtMillis start time of the worker's process in milliseconds, which
   *     identifies the incarnation that the clock belongs to
   */
  public void recordStartSent(long leaseUntilMillis, long workerStartedAtMillis) {
    recordOrderSent();
    startsSent++;
    // If the worker's clock was set back, a later copy contains an earlier end.
    startLeaseUntilMillis =
        startLeaseIncarnation == workerStartedAtMillis
            ? Math.max(startLeaseUntilMillis, leaseUntilMillis)
            : leaseUntilMillis;
    startLeaseIncarnation = workerStartedAtMillis;
  }

  /**
   * Returns whether a copy of the start order was sent by this owner.
   *
   * @return false if no copy can reach the worker
   */
  public boolean isStartSent() {
    return startLeaseUntilMillis > 0;
  }

  /**
   * Returns whether the worker would reject every copy of the start order because the latest lease
   * in any of them has expired.
   *
   * @param workerStartedAtMillis start time of the worker's process in milliseconds
   * @param workerClockMillis time on the worker's clock in milliseconds
   * @return whether all copies would be rejected; false if this process sent no copy to this
   *     incarnation of the worker
   */
  public boolean isTooLateToStart(long workerStartedAtMillis, long workerClockMillis) {
    return startLeaseUntilMillis > 0
        && startLeaseIncarnation == workerStartedAtMillis
        && workerClockMillis > startLeaseUntilMillis;
  }

  /**
   * Returns whether this owner has sent exactly one copy of the start order.
   *
   * @return whether that copy has started the run, if it runs
   */
  public boolean isStartedOnce() {
    return startsSent == 1;
  }

  /** Records that the only copy of the start order was carried out, so that none is to come. */
  public void markOnlyStartCarriedOut() {
    onlyStartCarriedOut = true;
  }

  /**
   * Returns whether the only copy of the start order was carried out before its answer was given
   * up.
   *
   * @return whether no copy is to come although one was not answered
   */
  public boolean isOnlyStartCarriedOut() {
    return onlyStartCarriedOut && startsSent == 1;
  }

  /** Records that a copy of the start order was not answered. */
  public void recordStartUnanswered() {
    unansweredStarts++;
  }

  /**
   * Returns the number of copies of the start order that were not answered. The worker may have
   * carried out each of them, or may still do so.
   *
   * @return the number of unanswered copies
   */
  public int unansweredStarts() {
    return unansweredStarts;
  }

  /**
   * Returns whether only the worker's next report can show if the task runs.
   *
   * @return whether the outcome of an order to start or stop the run is unknown
   */
  public boolean isOutcomeUnknown() {
    return switch (state) {
      case RUNNING -> false;
      case STARTING -> unansweredStarts > 0;
      case STOPPING, DOUBTFUL -> true;
    };
  }

  /** Records that an order was sent. */
  public void recordOrderSent() {
    orderInFlight = true;
  }

  /**
   * Records that an order was answered or has failed.
   *
   * @param notBeforeMillis monotonic time in milliseconds before which no other order is sent
   */
  public void recordOrderEnded(long notBeforeMillis) {
    orderInFlight = false;
    nextOrderAtMillis = notBeforeMillis;
  }

  /**
   * Updates progress and load from a report of the worker.
   *
   * @param reportedPercent progress in percent
   * @param reportedLoad CPU use in thousandths of a core, or the tail latency in milliseconds of a
   *     serving task
   */
  public void updateReport(int reportedPercent, int reportedLoad) {
    progressPercent = reportedPercent;
    load = reportedLoad;
  }

  /**
   * Returns the progress in the worker's last report.
   *
   * @return progress in percent, -1 before the first report
   */
  public int progressPercent() {
    return progressPercent;
  }

  /**
   * Returns the load in the worker's last report.
   *
   * @return CPU use in thousandths of a core, or the tail latency in milliseconds of a serving task
   */
  public int load() {
    return load;
  }

  /**
   * Returns the speed limit of the task.
   *
   * @return percent of full speed, initially 100
   */
  public int speedLimitPercent() {
    return speedLimitPercent;
  }

  /**
   * Records that a speed limit was ordered.
   *
   * @param percent percent of full speed
   * @param monotonicMillis monotonic time in milliseconds
   */
  public void setSpeedLimit(int percent, long monotonicMillis) {
    if (percent != speedLimitPercent) {
      speedLimitPercent = percent;
      speedLimitSinceMillis = monotonicMillis;
    }
    speedLimitUncertain = false;
  }

  /**
   * Sets the highest speed limit of a best-effort run that would interfere too much at full speed.
   *
   * @param percent percent of full speed
   * @param monotonicMillis monotonic time in milliseconds
   */
  public void startAtReducedSpeed(int percent, long monotonicMillis) {
    setSpeedLimit(percent, monotonicMillis);
    // Workers start all tasks at full speed.
    speedLimitUncertain = true;
    maxSpeedPercent = percent;
  }

  /**
   * Returns whether the run was started although it would interfere too much at full speed.
   *
   * @return whether it was started at reduced speed
   */
  public boolean isStartedAtReducedSpeed() {
    return maxSpeedPercent < FULL_SPEED_PERCENT;
  }

  /**
   * Returns the highest speed limit that the run may get.
   *
   * @return percent of full speed
   */
  public int maxSpeedPercent() {
    return maxSpeedPercent;
  }

  /** Records that the worker may apply another speed limit than the one ordered last. */
  public void markSpeedLimitUncertain() {
    speedLimitUncertain = true;
  }

  /**
   * Returns whether the speed limit has to be ordered again.
   *
   * @return whether the worker may apply another speed limit than the one ordered last
   */
  public boolean isSpeedLimitUncertain() {
    return speedLimitUncertain;
  }

  /**
   * Returns when the current speed limit was ordered.
   *
   * @return monotonic time in milliseconds, 0 for the initial limit
   */
  public long speedLimitSinceMillis() {
    return speedLimitSinceMillis;
  }
}
