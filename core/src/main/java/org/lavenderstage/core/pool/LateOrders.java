package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.lavenderstage.core.job.TaskId;

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
   * Returns the tasks whose tracked runs on a worker may be active although its leases have
   * expired: those of all unanswered starts if the worker has probably restarted; otherwise those
   * of starts that it holds back, since it may have restarted where it cannot be listed.
   */
  Set<TaskId> tasksThatMayRun(Worker worker, long nowMillis) {
    if (isOver(worker, nowMillis)) {
      return Set.of();
    }
    boolean restarted = worker.fence().isRestartPending();
    return worker.unansweredOrders().tasks(start -> restarted || start.heldBack());
  }

  /**
   * Returns the tasks that are not to be started although no run of them is tracked. A task whose
   * run on a worker was seen to end does not wait for an unlikely restart of that worker.
   */
  Set<TaskId> awaitedTasks(Collection<Worker> workers, long nowMillis) {
    Set<TaskId> tasks = new HashSet<>();
    workers.forEach(worker -> tasks.addAll(awaitedTasks(worker, nowMillis)));
    return tasks;
  }

  private Set<TaskId> awaitedTasks(Worker worker, long nowMillis) {
    boolean restarted = worker.fence().isRestartPending();
    boolean heard = worker.hasReported() && !worker.isUnresponsive();
    return (restarted || !heard) && !isOver(worker, nowMillis)
        ? worker.unansweredOrders().tasks(start -> restarted || start.isKnownFromRecord())
        : Set.of();
  }

  private boolean isOver(Worker worker, long nowMillis) {
    return nowMillis > leases.lateLeaseExpiryMillis(worker);
  }

  /** Returns the tasks that a later owner is not to start before the late orders are over. */
  static Set<TaskId> tasksToStore(Worker worker) {
    boolean restarted = worker.fence().isRestartPending();
    Set<TaskId> tasks =
        worker.unansweredOrders().tasks(start -> restarted || start.isKnownFromRecord());
    if (!restarted && worker.renewal().stop().isPresent()) {
      Set<TaskId> heldBack = worker.unansweredOrders().tasks(UnansweredOrders.Start::heldBack);
      worker.runs().stream()
          .map(run -> run.task().id())
          .filter(heldBack::contains)
          .forEach(tasks::add);
    }
    return tasks;
  }

  /**
   * Returns whether any run of a previous owner may be active on a worker although the leases have
   * expired. A new owner does not know which starts the worker has received before its restart.
   */
  boolean mayHaveInheritedRuns(Worker worker, long nowMillis) {
    return worker.isInherited() && worker.fence().isRestartPending() && !isOver(worker, nowMillis);
  }

  /** Returns whether nothing can run on a worker whose leases have expired. */
  boolean areRunsOver(Worker worker, long nowMillis) {
    return worker.isIdle()
        && awaitedTasks(worker, nowMillis).isEmpty()
        && !mayHaveInheritedRuns(worker, nowMillis);
  }
}
