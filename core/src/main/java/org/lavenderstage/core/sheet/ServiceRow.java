package org.lavenderstage.core.sheet;

/**
 * A service as the sheet declares it.
 *
 * @param name name of the service
 * @param rank rank; a lower rank is served first
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis maximum duration of a request in milliseconds
 */
public record ServiceRow(String name, int rank, boolean idempotent, int timeoutMillis) {}
