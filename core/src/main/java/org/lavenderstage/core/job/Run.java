package org.lavenderstage.core.job;

/** One run of a task on one worker, from the order to start it until its end is known. */
public final class Run {
  /** What is known of a run. */
  public enum State {
    /** The order to start it was sent; whether it runs is not known. */
    STARTING,
    /** The worker has confirmed it. */
    RUNNING,
    /** The order to stop it was or will be sent. */
    STOPPING,
    /** The worker rejected it as outdated; the next report tells whether it ran. */
    DOUBTFUL
  }

  /** Utilization assumed of a serving task before its first report; half of a queue. */
  public static final double ASSUMED_UTILIZATION = 0.5;

  private final Task task;
  private final int attempt;
  private final String worker;
  private final String startCheckpoint;
  private State state;
  private long stateSinceMillis;
  private boolean callInFlight;
  private long retryAtMillis;
  private int progressPercent = -1;
  private int load;
  private int pacePercent = 100;
  private long paceSinceMillis;
  private boolean paceInDoubt;
  private int unansweredStarts;
  private long startLeaseMillis;
  private long startLife;

  /**
   * Makes a run that is about to be ordered.
   *
   * @param task the task
   * @param attempt number of the run
   * @param worker identifier of the worker
   * @param state first state: starting, or running where the worker reported it
   * @param monotonicMillis steady time
   */
  public Run(Task task, int attempt, String worker, State state, long monotonicMillis) {
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
  public int attempt() {
    return attempt;
  }

  /**
   * Returns the worker.
   *
   * @return its identifier
   */
  public String worker() {
    return worker;
  }

  /**
   * Returns the checkpoint that the run starts from; every copy of the order carries the same.
   *
   * @return the checkpoint, empty for none
   */
  public String startCheckpoint() {
    return startCheckpoint;
  }

  /**
   * Returns what is known of the run.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  /**
   * Returns since when the state holds.
   *
   * @return steady time in milliseconds
   */
  public long stateSinceMillis() {
    return stateSinceMillis;
  }

  /**
   * Changes the state.
   *
   * @param next the state
   * @param monotonicMillis steady time
   */
  public void changeState(State next, long monotonicMillis) {
    state = next;
    stateSinceMillis = monotonicMillis;
    retryAtMillis = monotonicMillis;
  }

  /**
   * Tells whether an order about this run is due.
   *
   * @param monotonicMillis steady time
   * @return whether no call is under way and the pause after the last one is over
   */
  public boolean isOrderDue(long monotonicMillis) {
    return !callInFlight && monotonicMillis >= retryAtMillis;
  }

  /**
   * Notes that a copy of the order to start the run was sent.
   *
   * @param leaseUntilMillis end of the lease that it names, on the worker's clock
   * @param bornMillis the life of the worker that this clock belongs to
   */
  public void recordStartSent(long leaseUntilMillis, long bornMillis) {
    recordOrderSent();
    // A clock that was set back names an earlier end in a later copy.
    startLeaseMillis =
        startLife == bornMillis ? Math.max(startLeaseMillis, leaseUntilMillis) : leaseUntilMillis;
    startLife = bornMillis;
  }

  /**
   * Tells whether the worker would reject every copy of the order to start the run, since the
   * latest lease that one of them names is over.
   *
   * @param bornMillis the worker's life
   * @param clockMillis time on the worker's clock
   * @return whether it would; false where this process sent no copy to this life
   */
  public boolean isTooLateToStart(long bornMillis, long clockMillis) {
    return startLeaseMillis > 0 && startLife == bornMillis && clockMillis > startLeaseMillis;
  }

  /** Notes that a copy of the order to start the run got no answer. */
  public void recordStartUnanswered() {
    unansweredStarts++;
  }

  /**
   * Counts the copies of the order to start the run that got no answer; the worker may have carried
   * out each of them, or may still do so.
   *
   * @return the count
   */
  public int unansweredStarts() {
    return unansweredStarts;
  }

  /**
   * Tells whether the worker's next report decides about the run.
   *
   * @return whether it was to start or to stop and what became of that is not known
   */
  public boolean isOutcomeUnknown() {
    return switch (state) {
      case RUNNING -> false;
      case STARTING -> unansweredStarts > 0;
      case STOPPING, DOUBTFUL -> true;
    };
  }

  /** Notes that an order was sent. */
  public void recordOrderSent() {
    callInFlight = true;
  }

  /**
   * Notes that the call of an order has ended.
   *
   * @param nextOrderMillis earliest steady time of another order
   */
  public void recordOrderEnded(long nextOrderMillis) {
    callInFlight = false;
    retryAtMillis = nextOrderMillis;
  }

  /**
   * Keeps what the worker reports.
   *
   * @param progress progress in percent
   * @param reportedLoad processors in use in thousandths of a core, or the tail latency in
   *     milliseconds of a task that serves users
   */
  public void updateReport(int progress, int reportedLoad) {
    progressPercent = progress;
    load = reportedLoad;
  }

  /**
   * Returns the progress that the worker reported last.
   *
   * @return percent, -1 before the first report
   */
  public int progressPercent() {
    return progressPercent;
  }

  /**
   * Returns the load that the worker reported last.
   *
   * @return processors in use in thousandths of a core, or the tail latency in milliseconds
   */
  public int load() {
    return load;
  }

  /**
   * Returns the share at which the task is let work.
   *
   * @return percent, 100 at the start
   */
  public int pacePercent() {
    return pacePercent;
  }

  /**
   * Notes that the share at which the task is let work was ordered.
   *
   * @param share percent
   * @param monotonicMillis steady time
   */
  public void setPace(int share, long monotonicMillis) {
    if (share != pacePercent) {
      pacePercent = share;
      paceSinceMillis = monotonicMillis;
    }
    paceInDoubt = false;
  }

  /** Notes that the worker may let the task work at another share than the one ordered last. */
  public void markPaceUncertain() {
    paceInDoubt = true;
  }

  /**
   * Tells whether the share has to be ordered again.
   *
   * @return whether the worker may let the task work at another share
   */
  public boolean isPaceUncertain() {
    return paceInDoubt;
  }

  /**
   * Returns since when the share holds.
   *
   * @return steady time in milliseconds, 0 for the share at the start
   */
  public long paceSinceMillis() {
    return paceSinceMillis;
  }
}
