package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/**
 * Tracks the starts that the workers of a simulation delay, and what the owner can know of each.
 */
final class DelayedStarts {
  private final TaskOracle oracle;
  private final List<DelayedStart> starts = new ArrayList<>();
  private final Map<TaskId, Run> latestRuns = new HashMap<>();

  /** Delayed starts that were sent to the worker of an order before it. */
  private final IdentityHashMap<Order, List<DelayedStart>> startsBefore = new IdentityHashMap<>();

  /** A start that a worker has received and will carry out. */
  static final class DelayedStart {
    private final SimulatedWorker worker;
    private final Run run;

    /** Whether the worker has answered a later order, so that the owner can know of the delay. */
    private boolean delayKnown;

    /** Whether the worker has reported to the owner after the end of the run. */
    private boolean settled;

    private DelayedStart(SimulatedWorker worker, Run run) {
      this.worker = worker;
      this.run = run;
    }
  }

  DelayedStarts(TaskOracle oracle) {
    this.oracle = oracle;
  }

  /** Records that an order is sent. */
  void recordSent(Order order) {
    if (order instanceof Order.Start start) {
      latestRuns.put(start.run().task().id(), start.run());
    }
    List<DelayedStart> before =
        starts.stream().filter(start -> start.worker.id.equals(order.worker().id())).toList();
    if (!before.isEmpty()) {
      startsBefore.put(order, before);
    }
  }

  /** Records the result of an order that the owner receives. */
  void recordResult(Order order, OrderResult result) {
    List<DelayedStart> before = startsBefore.remove(order);
    if (before != null && !(result instanceof OrderResult.Unanswered)) {
      before.forEach(start -> start.delayKnown = true);
    }
  }

  /** Records that a worker delays an order; only starts are tracked. */
  Optional<DelayedStart> add(SimulatedWorker worker, Order order) {
    if (!(order instanceof Order.Start start)) {
      return Optional.empty();
    }
    DelayedStart delayed = new DelayedStart(worker, start.run());
    starts.add(delayed);
    return Optional.of(delayed);
  }

  /** Records that a worker carries out a start now. */
  void remove(DelayedStart start) {
    starts.remove(start);
  }

  /** Records which runs a worker in contact with the owner does not have by the owner's view. */
  void observe(JobScheduler owner) {
    if (starts.isEmpty()) {
      return;
    }
    for (Worker worker : owner.workers()) {
      if (worker.hasReported() && worker.fence().isConfirmed() && !worker.isUnresponsive()) {
        starts.stream()
            .filter(start -> start.worker.id.equals(worker.id()))
            .filter(start -> worker.run(start.run.task().id(), start.run.attempt()).isEmpty())
            .forEach(start -> start.settled = true);
      }
    }
  }

  /**
   * Returns whether the owner can know of each start that the next incarnation of a worker will
   * carry out.
   *
   * @param seen whether the restart of the worker is listed at once
   */
  boolean areKnowable(SimulatedWorker worker, boolean seen) {
    return starts.stream()
        .filter(start -> start.worker == worker)
        .allMatch(start -> isKnowable(start, seen));
  }

  private boolean isKnowable(DelayedStart start, boolean seen) {
    TaskId task = start.run.task().id();
    boolean latest = latestRuns.get(task).attempt() == start.run.attempt();
    return !oracle.isDone(task) && !start.settled && (start.delayKnown || (seen && latest));
  }
}
