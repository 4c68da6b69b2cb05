package org.lavenderstage.core.claim;

/**
 * Limits of an entry's claims.
 *
 * @param claimWaitNanos longest wait for a claim's fate in nanoseconds
 * @param openKeys most requests that may be under way at one time
 * @param cachedAnswers most answers that are kept for repeats
 * @param cachedBytes most bytes of the kept answers' bodies
 */
public record ClaimLimits(long claimWaitNanos, int openKeys, int cachedAnswers, long cachedBytes) {}
