package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Tells which tasks may have a run of a previous owner that its worker has not reported yet. */
final class UnreportedRuns {
  private final Collection<Worker> workers;
  private final LateOrders lateOrders;

  /**
   * Creates a view.
   *
   * @param workers the workers, which may change
   * @param lateOrders tells which workers may have runs after their leases
   */
  UnreportedRuns(Collection<Worker> workers, LateOrders lateOrders) {
    this.workers = workers;
    this.lateOrders = lateOrders;
  }

  /** Returns whether any task may have a run of a previous owner that is not reported yet. */
  boolean isAnyTaskConcerned(long nowMillis) {
    return unreported(nowMillis).anyMatch(worker -> worker.renewal().inheritedTasks().isEmpty());
  }

  /** Counts the workers of a previous owner that may have runs not reported yet. */
  int workerCount(long nowMillis) {
    return (int) unreported(nowMillis).count();
  }

  /** Returns the listed tasks that may have a run of a previous owner that is not reported yet. */
  Set<String> listedTasks(long nowMillis) {
    return unreported(nowMillis)
        .flatMap(worker -> worker.renewal().inheritedTasks().stream())
        .flatMap(Set::stream)
        .collect(Collectors.toSet());
  }

  /**
   * Returns when the last lease of the workers that may have such runs ends, if none of these
   * workers responds; before, most tasks wait only for reports that arrive soon.
   *
   * @return monotonic time in milliseconds, empty while a worker may still report
   */
  OptionalLong lastLeaseEndMillis(long nowMillis) {
    return unreported(nowMillis).allMatch(Worker::isUnresponsive)
        ? unreported(nowMillis).mapToLong(worker -> worker.lease().expiryMillis()).max()
        : OptionalLong.empty();
  }

  private Stream<Worker> unreported(long nowMillis) {
    return workers.stream()
        .filter(worker -> worker.isRecordStored() && !worker.hasReportedCompletely())
        .filter(
            worker ->
                nowMillis <= worker.lease().expiryMillis()
                    || lateOrders.mayHaveInheritedRuns(worker, nowMillis));
  }
}
