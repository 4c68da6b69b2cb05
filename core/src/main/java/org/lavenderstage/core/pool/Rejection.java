package org.lavenderstage.core.pool;

/** Reasons of a worker to reject an order. */
public enum Rejection {
  /** The worker has received orders with a higher fencing token, thus of another owner. */
  FENCED,
  /** This owner has raised the worker's fencing token since it created the order. */
  SUPERSEDED,
  /** The attempt is not higher than one that was stopped or ended on the worker. */
  OUTDATED,
  /** The lease that the order names has expired. */
  LATE,
  /** The worker has not enough free capacity for the task. */
  NO_ROOM,
  /** The start carries no valid ticket of the advice service. */
  NO_TICKET,
  /** The worker cannot parse the order. */
  MALFORMED,
  /** The worker is unhealthy or overloaded. */
  UNHEALTHY,
  /** The order names another incarnation than the worker's. */
  OTHER_INCARNATION
}
