package org.lavenderstage.standin.executor;

/**
 * Counters of a fake executor, for test oracles.
 *
 * @param started number of requests that the executor started
 * @param overLimitRequests number of requests that arrived while all slots were occupied
 */
public record ExecutorRecord(long started, long overLimitRequests) {}
