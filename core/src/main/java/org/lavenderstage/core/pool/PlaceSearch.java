package org.lavenderstage.core.pool;

/** What came of looking for a place for a task. */
sealed interface PlaceSearch {
  /**
   * There is a place.
   *
   * @param worker the worker to take
   */
  record Found(Worker worker) implements PlaceSearch {}

  /** No worker that the task may run on has room. */
  record NoRoom() implements PlaceSearch {}

  /** There is a place, which is left to more urgent tasks. */
  record Withheld() implements PlaceSearch {}
}
