package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Tells which tasks may have a run of a previous owner that its worker has not reported yet. */
final class UnreportedRuns {
  private final Collection<Worker> workers;

  /**
   * Creates a view.
   *
   * @param workers the workers, which may change
   */
  UnreportedRuns(Collection<Worker> workers) {
    this.workers = workers;
  }

  /** Returns whether any task may have a run of a previous owner that is not reported yet. */
  boolean isAnyTaskConcerned(long nowMillis) {
    return unreported(nowMillis).anyMatch(worker -> !isEachTaskListed(worker));
  }

  /** Counts the workers of a previous owner that may have runs not reported yet. */
  int workerCount(long nowMillis) {
    return (int) unreported(nowMillis).count();
  }

  /** Returns the listed tasks that may have a run of a previous owner that is not reported yet. */
  Set<String> listedTasks(long nowMillis) {
    return unreported(nowMillis)
        .filter(UnreportedRuns::isEachTaskListed)
        .flatMap(worker -> worker.renewal().inheritedTasks().orElseThrow().stream())
        .collect(Collectors.toSet());
  }

  private Stream<Worker> unreported(long nowMillis) {
    return workers.stream()
        .filter(
            w ->
                w.isRecordStored()
                    && !w.hasReportedCompletely()
                    && nowMillis <= w.leaseExpiryMillis());
  }

  private static boolean isEachTaskListed(Worker worker) {
    return worker.renewal().inheritedTasks().isPresent();
  }
}
