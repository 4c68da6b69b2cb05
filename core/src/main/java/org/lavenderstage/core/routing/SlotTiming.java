package org.lavenderstage.core.routing;

/**
 * Times of the slot protocol.
 *
 * @param handoverNanos silence after which a peer's slots are free again, in nanoseconds; longer
 *     than the heartbeat timeout plus the longest request plus the lease
 * @param maxStepGapNanos gap between two steps after which an entry takes itself for frozen, in
 *     nanoseconds; shorter than the hand-over time less the longest request
 * @param leaseNanos time for which a slot is lent, in nanoseconds
 * @param startDelayNanos time between the first VM list and the first slot in nanoseconds, in which
 *     an entry hears peers that the list does not name yet
 */
public record SlotTiming(
    long handoverNanos, long maxStepGapNanos, long leaseNanos, long startDelayNanos) {}
