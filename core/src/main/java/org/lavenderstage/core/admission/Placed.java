package org.lavenderstage.core.admission;

import org.lavenderstage.core.routing.SlotTicket;

/**
 * A request with the slot that it got.
 *
 * @param <T> type of what waited
 * @param waiting the request
 * @param ticket its slot
 * @param sentNanos monotonic time at which it was sent
 */
public record Placed<T>(Waiting<T> waiting, SlotTicket ticket, long sentNanos) {}
