package org.lavenderstage.core.pool;

/** The result of a search for a worker for a task. */
sealed interface PlacementResult {
  /**
   * A worker was found.
   *
   * @param worker the worker
   */
  record Found(Worker worker) implements PlacementResult {}

  /**
   * No allowed worker has enough free capacity.
   *
   * @param longestRunMillis longest expected run time with which an equal task would find a worker,
   *     by using reserved capacity until the reservation needs it; negative if none would
   */
  record NoRoom(long longestRunMillis) implements PlacementResult {}

  /** A worker was found, but is withheld for urgent tasks. */
  record Withheld() implements PlacementResult {}
}
