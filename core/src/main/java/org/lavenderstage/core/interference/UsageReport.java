package org.lavenderstage.core.interference;

import java.util.List;

/**
 * A late report of a worker. It names every task that ran in the measured interval, so that the
 * latency is joined to what ran then and not to what runs when the report arrives.
 *
 * @param worker identifier of the worker
 * @param fromMillis start of the measured interval in milliseconds since 1970
 * @param toMillis end of the measured interval in milliseconds since 1970
 * @param services the services on the worker
 * @param tasks the tasks that ran in the interval
 */
public record UsageReport(
    String worker,
    long fromMillis,
    long toMillis,
    List<ServiceUsage> services,
    List<TaskUsage> tasks) {
  /** Copies the lists. */
  public UsageReport {
    services = List.copyOf(services);
    tasks = List.copyOf(tasks);
  }
}
