package org.lavenderstage.core.pool;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lavenderstage.core.job.Run;

/**
 * Decides which tasks may run on a worker that is not heard of beyond the leases that its owner
 * counts, because an incarnation that knows no token carries out orders late. Only starts that got
 * no answer can come late, and only another incarnation than the one that they were sent to grants
 * them a lease that the owner did not request.
 */
final class LateOrders {
  private final WorkerLeases leases;

  LateOrders(WorkerLeases leases) {
    this.leases = leases;
  }

  /**
   * Returns whether a tracked run may be active although its lease has expired. It may if the
   * worker has probably restarted and may have carried out a start since its last report, or if the
   * worker holds the start back and may have restarted where it cannot be listed.
   */
  boolean mayRun(Worker worker, Run run, long nowMillis) {
    return nowMillis <= leases.lateLeaseExpiryMillis(worker) && mayStartLate(worker, run);
  }

  private static boolean mayStartLate(Worker worker, Run run) {
    Optional<UnansweredOrders.Start> start =
        worker.unansweredOrders().sinceLastReport(run.task().id());
    if (worker.fence().isRestartPending()) {
      return start.isPresent() || run.stateSinceMillis() >= worker.lastReportPolledMillis();
    }
    return start.filter(UnansweredOrders.Start::heldBack).isPresent();
  }

  /** Returns the tracked tasks that may run on a worker although their leases have expired. */
  static Set<String> tasksThatMayStartLate(Worker worker) {
    return worker.runs().stream()
        .filter(run -> mayStartLate(worker, run))
        .map(run -> run.task().id().toString())
        .collect(Collectors.toSet());
  }

  /**
   * Returns whether runs of a previous owner may be active on a worker although their leases have
   * expired. Of a worker whose restart is not known, only the owner that received its last report
   * knows which starts it holds back.
   */
  boolean mayHaveInheritedRuns(Worker worker, long nowMillis) {
    boolean mayStartLate =
        worker.fence().isRestartPending()
            || worker.renewal().stop().filter(stop -> !stop.mayStartLate().isEmpty()).isPresent();
    return mayStartLate && nowMillis <= leases.lateLeaseExpiryMillis(worker);
  }

  /**
   * Returns the tasks to which {@link #mayHaveInheritedRuns} refers.
   *
   * @return identifiers of tasks, empty if any inherited task may be concerned
   */
  static Optional<List<String>> inheritedTasks(Worker worker) {
    return worker.fence().isRestartPending()
        ? worker.renewal().inheritedTasks().map(List::copyOf)
        : worker.renewal().stop().map(RenewalStop::mayStartLate).map(List::copyOf);
  }
}
