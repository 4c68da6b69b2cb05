package org.lavenderstage.core.routing;

/**
 * Times of the protocol that divides the slots between the entries.
 *
 * @param handoverNanos time without announcements after which a peer's slots are free again, in
 *     nanoseconds; longer than the sum of the heartbeat timeout, the longest request and the lease
 * @param maxStepGapNanos gap between two steps after which an entry must assume that its process
 *     was paused, in nanoseconds; shorter than the handover time minus the longest request
 * @param leaseNanos time for which a slot is lent, in nanoseconds
 * @param startDelayNanos time between the first VM list and the first use of a slot, in
 *     nanoseconds; the entry meanwhile receives announcements of peers that are not listed yet
 */
public record SlotTiming(
    long handoverNanos, long maxStepGapNanos, long leaseNanos, long startDelayNanos) {}
