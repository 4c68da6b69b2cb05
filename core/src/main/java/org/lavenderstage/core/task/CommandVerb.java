package org.lavenderstage.core.task;

/** What a worker is asked to do with an attempt. */
public enum CommandVerb {
  /** Start it. */
  START,
  /** Keep it for another worker lease. */
  RENEW,
  /** Stop it. */
  STOP,
  /** Write a checkpoint and stop it. */
  CHECKPOINT,
  /** Slow it down. */
  THROTTLE,
  /** Let it run at full speed. */
  UNTHROTTLE
}
