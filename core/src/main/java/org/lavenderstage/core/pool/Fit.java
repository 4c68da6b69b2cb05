package org.lavenderstage.core.pool;

/** Whether a task can be placed on a worker, and else the first reason against it. */
enum Fit {
  /** The worker may take the task now. */
  FITS,
  /** The worker takes no runs, or is none that the task may run on. */
  NOT_ALLOWED,
  /** The worker gets no runs for a while, after a rejection, failures or a restart in place. */
  PAUSED,
  /** Other runs reserve the room. */
  RESERVED,
  /** The room is kept for a task that needs it more. */
  KEPT,
  /** Too few processors are unused, though they are not reserved. */
  BUSY,
  /** A task that serves users there would miss its target. */
  PRESSES,
  /**
   * The task waits for this worker, where a former owner may have started it: neither a report nor
   * the end of the worker's lease has told.
   */
  UNSEEN
}
