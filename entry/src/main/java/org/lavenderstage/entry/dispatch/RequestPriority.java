package org.lavenderstage.entry.dispatch;

/**
 * What decides when a waiting request is served.
 *
 * @param rank rank of the workspace; a lower number is served first
 * @param weight weight of the workspace among those of its rank
 * @param scheduledRetry whether the caller comes back when an earlier answer told it to
 */
public record RequestPriority(int rank, int weight, boolean scheduledRetry) {}
