package org.lavenderstage.entry.dispatch;

/**
 * The values that determine when a queued request is served.
 *
 * @param rank rank of the workspace; a lower number is served first
 * @param weight weight of the workspace among those of its rank
 * @param scheduledRetry whether the caller retries at the time given in an earlier refusal
 */
public record RequestPriority(int rank, int weight, boolean scheduledRetry) {}
