package org.lavenderstage.core.admission;

/**
 * A request that waits for a slot, with the values that determine its order.
 *
 * @param <T> type of the item
 * @param item the item to be served
 * @param rank rank; a lower number is served first
 * @param workspace workspace of the caller
 * @param weight weight of the workspace among those of its rank
 * @param deadlineNanos deadline on the monotonic clock, in nanoseconds
 * @param scheduledRetry whether the caller retries at the time given in an earlier refusal
 */
public record QueuedRequest<T>(
    T item, int rank, String workspace, int weight, long deadlineNanos, boolean scheduledRetry) {}
