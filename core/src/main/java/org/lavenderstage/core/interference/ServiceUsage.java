package org.lavenderstage.core.interference;

/**
 * The latency and load of one service, as measured by a worker over an interval.
 *
 * @param service the name of the service
 * @param latencyMicros the mean latency in microseconds
 * @param load the fraction of the service's own slots that were busy, from 0 to 1
 */
public record ServiceUsage(String service, double latencyMicros, double load) {}
