package org.lavenderstage.standin.executor;

/**
 * What a fake executor recorded, for the oracles.
 *
 * @param started requests that it started
 * @param ninthRequests requests that came while every slot was taken
 */
public record ExecutorRecord(long started, long ninthRequests) {}
