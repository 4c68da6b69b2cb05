package org.lavenderstage.bench.request;

/**
 * One request of a run, the same for every policy.
 *
 * @param atNanos time of its arrival
 * @param entry index of the entry to which the balancer brings it
 * @param workspace workspace of the caller
 * @param rank rank of the workspace
 * @param sizeNanos time for which a healthy executor works on it
 */
record Arrival(long atNanos, int entry, String workspace, int rank, long sizeNanos) {}
