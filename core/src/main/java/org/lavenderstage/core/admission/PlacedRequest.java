package org.lavenderstage.core.admission;

import org.lavenderstage.core.routing.SlotTicket;

/**
 * A request with the slot that it got.
 *
 * @param <T> type of what waited
 * @param request the request
 * @param ticket its slot
 * @param sentNanos monotonic time at which it was sent
 */
public record PlacedRequest<T>(QueuedRequest<T> request, SlotTicket ticket, long sentNanos) {}
