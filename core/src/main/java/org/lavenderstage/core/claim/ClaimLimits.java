package org.lavenderstage.core.claim;

/**
 * Limits of an entry's claims.
 *
 * @param claimWaitNanos longest time that a submission waits for its claim to be read from the log,
 *     in nanoseconds
 * @param openKeys maximum number of requests with an open claim
 * @param cachedAnswers maximum number of answers that are cached for repeated submissions
 * @param cachedBytes maximum total size of the cached answers' bodies in bytes
 */
public record ClaimLimits(long claimWaitNanos, int openKeys, int cachedAnswers, long cachedBytes) {}
