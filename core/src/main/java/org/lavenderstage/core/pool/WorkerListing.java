package org.lavenderstage.core.pool;

import java.util.Set;
import org.lavenderstage.core.placement.Resources;

/**
 * What a worker says of itself in the list of workers.
 *
 * @param id identifier, new with each life unless the worker restarts in place
 * @param service service that the worker belongs to
 * @param address host and port
 * @param domain failure domain
 * @param rack rack, empty where it is unknown
 * @param labels labels, among them the kind and the rack
 * @param capacity what the worker has
 * @param draining whether the worker is about to leave
 * @param startedAtMillis wall time of its start in milliseconds since 1970, 0 where unknown
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
    long startedAtMillis) {
  /** Copies the labels. */
  public WorkerListing {
    labels = Set.copyOf(labels);
  }
}
