package org.lavenderstage.bench.request;

/**
 * A request of a run. All policies are given the same requests.
 *
 * @param atNanos virtual time of its arrival, in nanoseconds
 * @param entry index of the entry to which the load balancer sends it
 * @param workspace workspace of the caller
 * @param rank rank of the workspace, lower numbers first
 * @param sizeNanos service time on a healthy executor, in nanoseconds
 */
record Arrival(long atNanos, int entry, String workspace, int rank, long sizeNanos) {}
