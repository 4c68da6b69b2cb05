package org.lavenderstage.core.interference;

import java.util.List;

/**
 * A usage report of a worker, which may arrive with a delay. It lists every task that ran in the
 * measured interval, so that the latency is attributed to the tasks that ran then, not to those
 * that run when the report arrives.
 *
 * @param worker the identifier of the worker
 * @param fromMillis the start of the measured interval in milliseconds since 1970
 * @param toMillis the end of the measured interval in milliseconds since 1970
 * @param services the services on the worker
 * @param tasks the tasks that ran in the interval
 */
public record UsageReport(
    String worker,
    long fromMillis,
    long toMillis,
    List<ServiceUsage> services,
    List<TaskUsage> tasks) {
  /** Creates a report with copies of the lists. */
  public UsageReport {
    services = List.copyOf(services);
    tasks = List.copyOf(tasks);
  }
}
