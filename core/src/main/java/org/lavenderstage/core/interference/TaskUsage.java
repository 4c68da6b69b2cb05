package org.lavenderstage.core.interference;

/**
 * What a worker measured of one task over an interval.
 *
 * @param job identifier of the job
 * @param attempt number of the attempt
 * @param batchClass batch class of the job
 * @param cpuMillis processors used, in thousandths of a core, as a mean over the whole interval
 * @param throttled whether the task was throttled at the end of the interval
 */
public record TaskUsage(
    String job, int attempt, String batchClass, int cpuMillis, boolean throttled) {}
