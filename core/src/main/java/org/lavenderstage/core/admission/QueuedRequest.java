package org.lavenderstage.core.admission;

/**
 * A request that waits for a slot, with all that orders it.
 *
 * @param <T> type of what waits
 * @param item what waits
 * @param rank rank; a lower number is served first
 * @param workspace workspace of the caller
 * @param weight weight of the workspace among those of its rank
 * @param deadlineNanos deadline on the monotonic clock
 * @param scheduledRetry whether the caller comes back when it was told to
 */
public record QueuedRequest<T>(
    T item, int rank, String workspace, int weight, long deadlineNanos, boolean scheduledRetry) {}
