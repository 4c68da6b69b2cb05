package org.lavenderstage.entry.duty;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.SleepingWaitStrategy;
import java.util.function.Consumer;

/**
 * A bounded queue from any number of producer threads to one consumer thread, backed by a ring
 * buffer.
 *
 * @param <T> type of the items
 */
public final class BoundedRing<T> {
  private final RingBuffer<Slot<T>> ring;
  private final EventPoller<Slot<T>> poller;

  /**
   * Creates an empty ring.
   *
   * @param size number of slots, a power of two
   */
  public BoundedRing(int size) {
    ring = RingBuffer.createMultiProducer(Slot::new, size, new SleepingWaitStrategy());
    poller = ring.newPoller();
    ring.addGatingSequences(poller.getSequence());
  }

  /**
   * Adds an item unless the ring is full.
   *
   * @param item the item to add
   * @return false if the ring is full
   */
  public boolean offer(T item) {
    return ring.tryPublishEvent((slot, sequence) -> slot.item = item);
  }

  /**
   * Removes the available items and passes them to a consumer. Only the consumer thread may call
   * this method. If the consumer throws an exception, its item is removed all the same, the items
   * behind it stay in the ring, and the exception is propagated.
   *
   * @param max maximum number of items to remove
   * @param consumer receives each item
   * @return number of items removed
   */
  public int drain(int max, Consumer<T> consumer) {
    Slot<T> polled = new Slot<>();
    EventPoller.Handler<Slot<T>> handler =
        (slot, sequence, endOfBatch) -> {
          polled.item = slot.item;
          slot.item = null;
          return false;
        };
    int count = 0;
    while (count < max && pollOne(handler)) {
      count++;
      consumer.accept(polled.item);
    }
    return count;
  }

  /**
   * Removes an item, if any. The consumer is not called within the poll, because the poller
   * delivers an item again if its handler fails.
   */
  private boolean pollOne(EventPoller.Handler<Slot<T>> handler) {
    try {
      return poller.poll(handler) == EventPoller.PollState.PROCESSING;
    } catch (Exception e) {
      throw new IllegalStateException("cannot poll the ring buffer", e);
    }
  }

  /**
   * Returns the number of items in the ring.
   *
   * @return number of items
   */
  public long size() {
    return ring.getBufferSize() - ring.remainingCapacity();
  }

  /** A slot of the ring, or a holder of an item that was removed from it. */
  private static final class Slot<T> {
    private T item;
  }
}
