package org.lavenderstage.core.interference;

/**
 * What a worker measured of one service over an interval.
 *
 * @param service name of the service
 * @param latencyMicros mean latency in microseconds
 * @param load part of the service's own slots that was busy, from 0 to 1
 */
public record ServiceUsage(String service, double latencyMicros, double load) {}
