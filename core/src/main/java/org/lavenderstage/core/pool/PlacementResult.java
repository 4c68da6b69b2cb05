package org.lavenderstage.core.pool;

/** What came of looking for a place for a task. */
sealed interface PlacementResult {
  /**
   * There is a place.
   *
   * @param worker the worker to take
   */
  record Found(Worker worker) implements PlacementResult {}

  /**
   * No worker that the task may run on has room.
   *
   * @param placeForMillis how long a task that is alike may be expected to run and still find a
   *     place, where kept room can be used until then; negative where none is found however short
   */
  record NoRoom(long placeForMillis) implements PlacementResult {}

  /** There is a place, which is left to more urgent tasks. */
  record Withheld() implements PlacementResult {}
}
