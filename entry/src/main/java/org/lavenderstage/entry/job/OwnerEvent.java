package org.lavenderstage.entry.job;

import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;

/** An event that other threads pass to the owner's thread. */
sealed interface OwnerEvent {
  /** An order to a worker has a result. */
  record OrderCompleted(Order order, OrderResult result) implements OwnerEvent {}

  /** An append to the journal has a result; {@code call} is the number of the append. */
  record AppendCompleted(KeyedLog.Append result, long call) implements OwnerEvent {}

  /**
   * A read at the journal's end has a result; {@code sentMillis} is the monotonic time at which the
   * read was sent.
   */
  record JournalEndRead(KeyedLog.Read result, long from, long sentMillis) implements OwnerEvent {}

  /** The list of workers was polled. */
  record ListingsRead(TopicReader.Poll poll) implements OwnerEvent {}
}
