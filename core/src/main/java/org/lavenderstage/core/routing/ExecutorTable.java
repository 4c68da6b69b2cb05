package org.lavenderstage.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The usable executors, with the number of this entry's requests in flight on each. */
public final class ExecutorTable {
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final int slotsPerExecutor;
  private List<ExecutorInfo> executors = List.of();

  /**
   * Creates a table without executors.
   *
   * @param slotsPerExecutor maximum number of concurrent requests of this entry on one executor
   */
  public ExecutorTable(int slotsPerExecutor) {
    this.slotsPerExecutor = slotsPerExecutor;
  }

  /**
   * Replaces the usable executors. Requests in flight on a removed executor are still counted until
   * they end.
   *
   * @param usable executors that are live and not about to be removed
   */
  public void setExecutors(List<ExecutorInfo> usable) {
    executors = List.copyOf(usable);
  }

  /**
   * Acquires a slot of the executor with the fewest requests in flight.
   *
   * @param service name of the service
   * @return the executor, or empty if no slot is free
   */
  public Optional<ExecutorInfo> acquire(String service) {
    ExecutorInfo best = null;
    for (ExecutorInfo executor : executors) {
      if (executor.service().equals(service)
          && inFlight(executor) < slotsPerExecutor
          && (best == null || inFlight(executor) < inFlight(best))) {
        best = executor;
      }
    }
    if (best != null) {
      inFlight.merge(best.id(), 1, Integer::sum);
    }
    return Optional.ofNullable(best);
  }

  /**
   * Releases a slot.
   *
   * @param executor the executor
   */
  public void release(ExecutorInfo executor) {
    inFlight.computeIfPresent(executor.id(), (id, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Returns the number of this entry's requests in flight on an executor.
   *
   * @param executor the executor
   * @return number of requests
   */
  public int inFlight(ExecutorInfo executor) {
    return inFlight.getOrDefault(executor.id(), 0);
  }

  /**
   * Returns the usable executors.
   *
   * @return the executors
   */
  public List<ExecutorInfo> executors() {
    return executors;
  }
}
