package org.lavenderstage.entry.peer;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.wire.peer.SlotState;

/** Holds the latest slot state of this entry for the duties that tell it to the peers. */
public final class SlotBoard {
  private SlotState state;
  private long changes;

  /** Starts without a state. */
  public SlotBoard() {}

  /**
   * Replaces the state.
   *
   * @param next the state
   * @param urgent whether the peers should hear of it at once
   */
  public synchronized void publish(SlotState next, boolean urgent) {
    state = next;
    if (urgent) {
      changes++;
      notifyAll();
    }
  }

  /**
   * Returns the state.
   *
   * @return the state, empty before the first one
   */
  public synchronized Optional<SlotState> state() {
    return Optional.ofNullable(state);
  }

  /**
   * Returns how often the state changed in an urgent way.
   *
   * @return the count
   */
  public synchronized long changes() {
    return changes;
  }

  /**
   * Waits for an urgent change.
   *
   * @param seen count of changes that the caller has seen
   * @param millis longest wait in milliseconds
   * @throws InterruptedException where the thread is interrupted
   */
  public synchronized void awaitChange(long seen, long millis) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    long left = millis;
    while (changes == seen && left > 0) {
      wait(left);
      left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
    }
  }
}
