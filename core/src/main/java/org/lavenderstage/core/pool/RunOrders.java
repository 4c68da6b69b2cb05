package org.lavenderstage.core.pool;

import java.util.List;
import java.util.Set;
import org.lavenderstage.core.job.Run;

/** Creates the orders that are due to start and stop runs. */
final class RunOrders {
  /**
   * Maximum number of starts that are sent in one step, so that polls and answers to callers do not
   * wait behind those of a backlog.
   */
  private static final int MAX_STARTS_PER_STEP = 64;

  private final WorkerTable workers;
  private final RunTracker runs;
  private int remainingStarts;

  RunOrders(WorkerTable workers, RunTracker runs) {
    this.workers = workers;
    this.runs = runs;
  }

  /** Begins a step, for which the maximum number of starts applies. */
  void beginStep() {
    remainingStarts = MAX_STARTS_PER_STEP;
  }

  /** Releases the tasks whose start waited for a later step while their worker became unusable. */
  void dropUnsentStarts() {
    for (Run run : runs.awaitingOrder.unsentStarts()) {
      Worker worker = workers.find(run.worker()).orElseThrow();
      boolean usable =
          worker.isClockKnown()
              && !worker.isUnresponsive()
              && worker.listing().filter(listing -> !listing.draining()).isPresent();
      if (!usable) {
        runs.markLost(worker, run, "its start was never sent");
      }
    }
  }

  /**
   * Adds the due orders to runs. Interrupted long-running tasks come first, so that their starts do
   * not wait behind those of a backlog.
   */
  void addDue(long nowMillis, List<Order> orders) {
    Set<String> due = runs.awaitingOrder.dueWorkers(nowMillis);
    if (due.isEmpty()) {
      return;
    }
    for (Run run : runs.awaitingOrder.interruptedStarts()) {
      addDue(workers.find(run.worker()).orElseThrow(), run, nowMillis, orders);
    }
    for (Worker worker : workers.all()) {
      if (due.contains(worker.id())) {
        worker.runs().forEach(run -> addDue(worker, run, nowMillis, orders));
      }
    }
  }

  private void addDue(Worker worker, Run run, long nowMillis, List<Order> orders) {
    if (!run.isOrderDue(nowMillis)) {
      return;
    }
    boolean mayStart =
        worker.isIncarnationStored()
            && worker.renewal().isAllowed()
            && worker.isClockKnown()
            && !worker.isUnresponsive()
            && !worker.evacuation.isEvacuated();
    if (run.state() == Run.State.STARTING && mayStart && remainingStarts > 0) {
      remainingStarts--;
      long leaseUntilMillis = workers.leases().grant(worker, nowMillis);
      run.recordStartSent(leaseUntilMillis, worker.startedAtMillis());
      worker.unansweredOrders().recordStartSent();
      orders.add(new Order.Start(worker, run, leaseUntilMillis, nowMillis));
    } else if (run.state() == Run.State.STOPPING) {
      run.recordOrderSent();
      orders.add(new Order.Stop(worker, run));
    }
  }
}
