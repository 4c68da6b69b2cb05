package org.lavenderstage.core.interference;

/**
 * The resource usage of one task, as measured by a worker over an interval.
 *
 * @param job the identifier of the job
 * @param attempt the number of the attempt
 * @param batchClass the batch class of the job
 * @param cpuMillis the mean CPU usage over the whole interval, in thousandths of a core
 * @param throttled whether the task was throttled at the end of the interval
 */
public record TaskUsage(
    String job, int attempt, String batchClass, int cpuMillis, boolean throttled) {}
