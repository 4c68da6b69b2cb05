package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.lavenderstage.core.job.Run;

/**
 * Tracks the starts that the workers of a simulation delay, and what the owner can know of each.
 */
final class DelayedStarts {
  private final TaskOracle oracle;
  private final List<DelayedStart> starts = new ArrayList<>();

  /** Delayed starts that were sent to the worker of an order before it. */
  private final IdentityHashMap<Order, List<DelayedStart>> startsBefore = new IdentityHashMap<>();

  /** A start that a worker has received and will carry out. */
  static final class DelayedStart {
    private final SimulatedWorker worker;
    private final Run run;
    private final long sentMillis;

    /** Whether the worker has answered a later order, so that the owner can know of the delay. */
    private boolean delayKnown;

    /** Whether an earlier owner sent the start, and the present one cannot learn of it. */
    private boolean forgotten;

    /** Whether the worker has reported to the owner after the end of the run. */
    private boolean settled;

    private DelayedStart(SimulatedWorker worker, Run run, long sentMillis) {
      this.worker = worker;
      this.run = run;
      this.sentMillis = sentMillis;
    }
  }

  DelayedStarts(TaskOracle oracle) {
    this.oracle = oracle;
  }

  /**
   * Records that another owner follows, which knows of delays by stored stops of renewals alone.
   *
   * @param renewalStopped returns whether such a stop of the previous owner is stored for a worker
   */
  void recordNewOwner(Predicate<String> renewalStopped) {
    for (DelayedStart start : starts) {
      start.delayKnown &= renewalStopped.test(start.worker.id);
      start.forgotten |= !start.delayKnown;
    }
    startsBefore.clear();
  }

  /** Records that an order is sent. */
  void recordSent(Order order, long nowMillis) {
    List<DelayedStart> before =
        starts.stream()
            .filter(start -> start.worker.id.equals(order.worker().id()))
            .filter(start -> !start.forgotten && start.sentMillis < nowMillis)
            .toList();
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
  Optional<DelayedStart> add(SimulatedWorker worker, Order order, long nowMillis) {
    if (!(order instanceof Order.Start start)) {
      return Optional.empty();
    }
    DelayedStart delayed = new DelayedStart(worker, start.run(), nowMillis);
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
   * Returns whether an owner can know in time of each start that the next incarnation of a worker
   * will carry out: from the answer to a later order, or since the restart is listed before the
   * lease has expired that the start requests.
   *
   * @param listedMillis time at which a restart now is listed
   */
  boolean areKnowable(SimulatedWorker worker, long listedMillis) {
    return starts.stream()
        .filter(start -> start.worker == worker)
        .allMatch(start -> isKnowable(start, listedMillis));
  }

  private boolean isKnowable(DelayedStart start, long listedMillis) {
    boolean restartKnown = listedMillis < start.sentMillis + SimulatedWorker.LEASE_MILLIS;
    return !oracle.isDone(start.run.task().id())
        && !start.settled
        && (start.delayKnown || restartKnown);
  }
}
