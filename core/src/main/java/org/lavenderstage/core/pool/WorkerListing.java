package org.lavenderstage.core.pool;

import java.util.Set;
import org.lavenderstage.core.placement.Resources;

/**
 * A worker's entry in the list of workers.
 *
 * @param id identifier, new with each incarnation unless the worker restarts in place
 * @param service service that the worker belongs to
 * @param address host and port
 * @param domain failure domain
 * @param rack rack, empty if unknown
 * @param labels labels, among them the kind and the rack
 * @param capacity total resources of the worker
 * @param draining whether the worker is about to shut down
 * @param startedAtMillis start time of its process, wall-clock time in milliseconds since 1970, 0
 *     if unknown
 * @param cold whether the worker says that it is still slow after its start
 */
public record WorkerListing(
    String id,
    String service,
    String address,
    String domain,
    String rack,
    Set<String> labels,
    Resources capacity,
    boolean draining,
    long startedAtMillis,
    boolean cold) {
  /** Copies the labels. */
  public WorkerListing {
    labels = Set.copyOf(labels);
  }

  /**
   * Creates the listing of a worker that is not cold.
   *
   * @param id identifier
   * @param service service
   * @param address host and port
   * @param domain failure domain
   * @param rack rack
   * @param labels labels
   * @param capacity total resources
   * @param draining whether the worker is about to shut down
   * @param startedAtMillis start time of its process
   */
  public WorkerListing(
      String id,
      String service,
      String address,
      String domain,
      String rack,
      Set<String> labels,
      Resources capacity,
      boolean draining,
      long startedAtMillis) {
    this(id, service, address, domain, rack, labels, capacity, draining, startedAtMillis, false);
  }
}
