package org.lavenderstage.entry.peer;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.wire.peer.SlotState;

/** Holds the latest slot state of this entry for the threads that send it to the peers. */
public final class PublishedSlotState {
  private SlotState state;
  private long urgentChanges;

  /** Creates a holder without a state. */
  public PublishedSlotState() {}

  /**
   * Replaces the state.
   *
   * @param newState the new state
   * @param urgent whether it should be sent to the peers at once
   */
  public synchronized void publish(SlotState newState, boolean urgent) {
    state = newState;
    if (urgent) {
      urgentChanges++;
      notifyAll();
    }
  }

  /**
   * Returns the latest state.
   *
   * @return the state, empty before the first one is published
   */
  public synchronized Optional<SlotState> state() {
    return Optional.ofNullable(state);
  }

  /**
   * Returns the number of urgent changes.
   *
   * @return number of urgent changes so far
   */
  public synchronized long urgentChanges() {
    return urgentChanges;
  }

  /**
   * Waits for the next urgent change.
   *
   * @param seen number of urgent changes that the caller knows of
   * @param millis maximum waiting time in milliseconds
   * @throws InterruptedException if the thread is interrupted
   */
  public synchronized void awaitUrgentChange(long seen, long millis) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    long remainingMillis = millis;
    while (urgentChanges == seen && remainingMillis > 0) {
      wait(remainingMillis);
      remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }
  }
}
