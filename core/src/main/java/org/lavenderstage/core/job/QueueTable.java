package org.lavenderstage.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the queue configuration. A queue is found by host and longest path prefix. */
public final class QueueTable {
  private final long version;
  private final Map<String, List<QueueRoute>> routesByHost = new HashMap<>();

  /**
   * Creates a table.
   *
   * @param version number of the configuration version
   * @param routes the routes to the queues
   */
  public QueueTable(long version, List<QueueRoute> routes) {
    this.version = version;
    for (QueueRoute route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<QueueRoute> longestFirst =
        Comparator.comparingInt((QueueRoute r) -> r.pathPrefix().length()).reversed();
    routesByHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
  }

  /**
   * Returns the version of the configuration.
   *
   * @return the number of the version
   */
  public long version() {
    return version;
  }

  /**
   * Finds the queue of a request.
   *
   * @param host host of the request, possibly with a port
   * @param path path of the request
   * @return the route, empty if no queue matches
   */
  public Optional<QueueRoute> find(String host, String path) {
    int colon = host.indexOf(':');
    String hostName = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    return routesByHost.getOrDefault(hostName, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }
}
