package org.lavenderstage.core.sheet;

/**
 * A service as the sheet declares it.
 *
 * @param name name of the service
 * @param rank rank; a lower number is served first
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis longest time for a request in milliseconds
 */
public record ServiceRow(String name, int rank, boolean idempotent, int timeoutMillis) {}
