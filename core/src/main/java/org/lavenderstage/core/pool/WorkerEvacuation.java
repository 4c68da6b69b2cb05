package org.lavenderstage.core.pool;

import org.lavenderstage.core.placement.Resources;

/**
 * The evacuations that concern a worker: whether it may be given runs, as far as the evacuation of
 * its failure domain goes, and the capacity that is held for tasks that move here from another one.
 */
final class WorkerEvacuation {
  private String domain = "";
  private boolean evacuated;
  private Resources held = Resources.NONE;
  private long returnsAtMillis = Long.MIN_VALUE;

  /** Returns the failure domain in the worker's latest listing, empty before the first one. */
  String domain() {
    return domain;
  }

  /** Sets the failure domain. A worker that is no longer listed keeps the one that it had. */
  void setDomain(WorkerListing listing) {
    domain = listing.domain();
  }

  /** Updates whether the failure domain is evacuated. */
  void update(Evacuations evacuations) {
    evacuated = evacuations.isRequested(domain);
  }

  /** Returns whether the failure domain of the worker is evacuated. */
  boolean isEvacuated() {
    return evacuated;
  }

  /** Returns the worker to use at a monotonic time, unless its failure domain is evacuated then. */
  void returnAt(long monotonicMillis) {
    returnsAtMillis = monotonicMillis;
  }

  /** Returns whether the worker may be given runs. */
  boolean allowsRuns(long monotonicMillis) {
    return !evacuated && monotonicMillis >= returnsAtMillis;
  }

  /** Holds capacity for a task whose present run is to be stopped first. */
  void hold(Resources demand) {
    held = held.plus(demand);
  }

  /** Releases capacity that was held. */
  void release(Resources demand) {
    held = held.minus(demand);
  }

  /** Returns the capacity that is held for tasks that move here. */
  Resources held() {
    return held;
  }
}
