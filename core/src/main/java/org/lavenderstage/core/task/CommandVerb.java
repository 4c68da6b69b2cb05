package org.lavenderstage.core.task;

/** The operation that a command asks a worker to perform on an attempt. */
public enum CommandVerb {
  /** Starts the attempt. */
  START,
  /** Extends the worker lease of the attempt. */
  RENEW,
  /** Stops the attempt. */
  STOP,
  /** Writes a checkpoint and stops the attempt. */
  CHECKPOINT,
  /** Throttles the attempt. */
  THROTTLE,
  /** Lets the attempt run at full speed again. */
  UNTHROTTLE
}
