package org.lavenderstage.core.pool;

import java.util.Optional;
import java.util.Set;

/** Whether the leases of a worker are renewed, in memory and as far as it is stored. */
final class LeaseRenewal {
  private Optional<RenewalStop> stop = Optional.empty();
  private Optional<Set<String>> inheritedTasks = Optional.empty();
  private boolean stopMayBeStored;

  /** Returns the decision to renew the leases no more, if there is one. */
  Optional<RenewalStop> stop() {
    return stop;
  }

  void stop(RenewalStop decision) {
    stop = Optional.of(decision);
  }

  /** Restores the decision of a previous owner to renew the leases no more. */
  void restore(RenewalStop decision) {
    stop = Optional.of(decision);
    inheritedTasks = decision.mayRun();
  }

  /**
   * Returns the identifiers of all tasks that may have runs of previous owners, empty if they are
   * not known. They stay known after the stop, since the first reports may not contain all runs.
   */
  Optional<Set<String>> inheritedTasks() {
    return inheritedTasks;
  }

  /** Withdraws the decision to renew the leases no more; it holds until that is stored. */
  void resume() {
    stop = Optional.empty();
  }

  /** Records that the present state is being stored. */
  void recordSent() {
    stopMayBeStored |= stop.isPresent();
  }

  /** Records that the newest record of the worker is stored, and whether it stops the renewal. */
  void recordStored(boolean stopped) {
    stopMayBeStored = stopped;
  }

  /** Returns whether leases may be granted: a later owner would rely on a stored stop of them. */
  boolean isAllowed() {
    return stop.isEmpty() && !stopMayBeStored;
  }

  /** Returns whether the stop has ended, and leases are granted once that is stored. */
  boolean isResuming() {
    return stop.isEmpty() && stopMayBeStored;
  }
}
