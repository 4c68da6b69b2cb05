package org.lavenderstage.core.admission;

import org.lavenderstage.core.routing.SlotTicket;

/**
 * A request and the slot on which it is placed.
 *
 * @param <T> type of the queued item
 * @param request the request
 * @param ticket the slot
 * @param sentNanos monotonic time at which the request was placed, in nanoseconds
 */
public record PlacedRequest<T>(QueuedRequest<T> request, SlotTicket ticket, long sentNanos) {}
