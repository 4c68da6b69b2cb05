package org.lavenderstage.core.pool;

/** Whether a task can be placed on a worker and, if not, the first reason. */
enum Fit {
  /** The task can be placed on the worker now. */
  FITS,
  /** The worker accepts no runs, or the task is not allowed on it. */
  NOT_ALLOWED,
  /** The failure domain of the worker is evacuated, or was, and the worker is to return soon. */
  EVACUATED,
  /** The worker gets no runs for some time, after a rejection, failures or a restart in place. */
  PAUSED,
  /** Other runs occupy the capacity. */
  RESERVED,
  /** The capacity is reserved for a task of higher rank. */
  KEPT,
  /** Too few processors are unused to run a best-effort task at a useful speed. */
  BUSY,
  /** A serving task on the worker would exceed its latency target. */
  PRESSES,
  /**
   * The task waits for this worker, on which a previous owner may have started it: the worker has
   * not reported yet, and its lease has not ended.
   */
  UNSEEN
}
