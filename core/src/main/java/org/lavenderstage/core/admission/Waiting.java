package org.lavenderstage.core.admission;

/**
 * A request that waits for a slot, with all that orders it.
 *
 * @param <T> type of what waits
 * @param item what waits
 * @param rank rank; a lower number is served first
 * @param workspace workspace of the caller
 * @param share weight of the workspace among those of its rank
 * @param deadlineNanos deadline on the monotonic clock
 * @param returning whether the caller comes back when it was told to
 */
public record Waiting<T>(
    T item, int rank, String workspace, int share, long deadlineNanos, boolean returning) {}
