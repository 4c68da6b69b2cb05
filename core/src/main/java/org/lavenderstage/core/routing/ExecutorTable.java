package org.lavenderstage.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The executors that may be used, with this entry's requests in flight on each. */
public final class ExecutorTable {
  private final Map<String, Integer> inFlight = new HashMap<>();
  private final int slotsPerExecutor;
  private List<ExecutorInfo> executors = List.of();

  /**
   * Makes a table without executors.
   *
   * @param slotsPerExecutor most requests of this entry on one executor at one time
   */
  public ExecutorTable(int slotsPerExecutor) {
    this.slotsPerExecutor = slotsPerExecutor;
  }

  /**
   * Replaces the executors; requests in flight on a removed one are still counted until they end.
   *
   * @param usable the executors that are live and not leaving
   */
  public void setExecutors(List<ExecutorInfo> usable) {
    executors = List.copyOf(usable);
  }

  /**
   * Takes a slot of the executor with the fewest requests in flight.
   *
   * @param service the service
   * @return the executor, empty where no slot is free
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
   * Gives a slot back.
   *
   * @param executor the executor
   */
  public void release(ExecutorInfo executor) {
    inFlight.computeIfPresent(executor.id(), (id, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Counts the requests of this entry in flight on an executor.
   *
   * @param executor the executor
   * @return the count
   */
  public int inFlight(ExecutorInfo executor) {
    return inFlight.getOrDefault(executor.id(), 0);
  }

  /**
   * Lists the executors that may be used.
   *
   * @return the executors
   */
  public List<ExecutorInfo> executors() {
    return executors;
  }
}
