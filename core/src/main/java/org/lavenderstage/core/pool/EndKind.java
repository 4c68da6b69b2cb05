package org.lavenderstage.core.pool;

/** How a run ended. */
public enum EndKind {
  /** It completed its work. */
  DONE,
  /** It failed, because of the task or of the worker. */
  FAILED,
  /** It was stopped by an order. */
  STOPPED,
  /** Its lease expired. */
  LAPSED,
  /** Another member of its gang ended. */
  GANG_BROKEN,
  /** The other members of its gang did not start in time. */
  GANG_INCOMPLETE
}
