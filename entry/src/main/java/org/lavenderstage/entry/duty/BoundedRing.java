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
   * Takes what is there; only the one duty may call this.
   *
   * @param max most items to take
   * @param consumer takes each item
   * @return count of the items taken
   */
  public int drain(int max, Consumer<T> consumer) {
    Counter counter = new Counter();
    try {
      poller.poll(
          (slot, sequence, endOfBatch) -> {
            T item = slot.item;
            slot.item = null;
            counter.count++;
            consumer.accept(item);
            return counter.count < max;
          });
    } catch (Exception e) {
      throw new IllegalStateException("the consumer failed", e);
    }
    return counter.count;
  }

  /**
   * Counts the items that wait.
   *
   * @return the count
   */
  public long size() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  /** One place of the ring. */
  private static final class Slot<T> {
    private T item;
  }

  /** Counts within a poll. */
  private static final class Counter {
    private int count;
  }
}
