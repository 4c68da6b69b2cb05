package org.lavenderstage.entry.duty;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.SleepingWaitStrategy;
import java.util.function.Consumer;

/**
 * A bounded ring from many threads to one duty.
 *
 * @param <T> type of what is passed on
 */
public final class BoundedRing<T> {
  private final RingBuffer<Slot<T>> ring;
  private final EventPoller<Slot<T>> poller;

  /**
   * Makes an empty ring.
   *
   * @param size count of slots, a power of two
   */
  public BoundedRing(int size) {
    ring = RingBuffer.createMultiProducer(Slot::new, size, new SleepingWaitStrategy());
    poller = ring.newPoller();
    ring.addGatingSequences(poller.getSequence());
  }

  /**
   * Passes an item on.
   *
   * @param item the item
   * @return false where the ring is full
   */
  public boolean offer(T item) {
    return ring.tryPublishEvent((slot, sequence) -> slot.item = item);
  }

  /**
   * Takes what is there; only the one duty may call this. An item whose consumer fails is taken all
   * the same, and the failure comes out of this method; what waits behind it stays in the ring.
   *
   * @param max most items to take
   * @param consumer takes each item
   * @return count of the items taken
   */
  public int drain(int max, Consumer<T> consumer) {
    Slot<T> taken = new Slot<>();
    EventPoller.Handler<Slot<T>> mover =
        (slot, sequence, endOfBatch) -> {
          taken.item = slot.item;
          slot.item = null;
          return false;
        };
    int count = 0;
    while (count < max && moveOne(mover)) {
      count++;
      consumer.accept(taken.item);
    }
    return count;
  }

  /** Moves an item out, if there is one; a consumer that failed in a poll would get it again. */
  private boolean moveOne(EventPoller.Handler<Slot<T>> mover) {
    try {
      return poller.poll(mover) == EventPoller.PollState.PROCESSING;
    } catch (Exception e) {
      throw new IllegalStateException("the ring failed", e);
    }
  }

  /**
   * Counts the items that wait.
   *
   * @return the count
   */
  public long size() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  /** One place of the ring, or the place of an item that has left it. */
  private static final class Slot<T> {
    private T item;
  }
}
