package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.interference.InterferenceModel;
import org.lavenderstage.core.interference.ServiceUsage;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.sheet.PairRow;
import org.lavenderstage.core.sheet.Sheet;

/**
 * Places jobs by rank and fair share, protects services according to an interference model
 * estimated from delayed reports, avoids faulty workers and preempts tasks for urgent ones. Its
 * state, derived from its own commands, from reports and from the ends of attempts, is not
 * persisted: a new planner starts without it.
 */
public final class AdaptivePlanner implements CellPlanner {
  private static final int URGENT_RANK = 0;
  private static final int EVICTIONS_PER_WINDOW = 6;
  private static final long EVICTION_WINDOW_MILLIS = 60_000;
  private static final int MAX_EVICTION_EXCESS = 1;
  private static final long PROBE_INTERVAL_MILLIS = 450_000;

  private final ProtectionPolicy policy;
  private final int maxPlacements;
  private final InterferenceModel model = new InterferenceModel();
  private final PairTable pairs = new PairTable(model);
  private final WorkerHealth health = new WorkerHealth(PROBE_INTERVAL_MILLIS);
  private final PlannerState state = new PlannerState(health);
  private final EvictionBudget budget =
      new EvictionBudget(EVICTIONS_PER_WINDOW, EVICTION_WINDOW_MILLIS, MAX_EVICTION_EXCESS);
  private final ServiceProtection protection = new ServiceProtection(state, model, budget);
  private Sheet sheet = Sheet.EMPTY;

  /**
   * Creates a planner without any observations.
   *
   * @param policy the policy for protecting services
   * @param maxPlacements the maximum number of placements in one plan, not counting probes
   */
  public AdaptivePlanner(ProtectionPolicy policy, int maxPlacements) {
    this.policy = policy;
    this.maxPlacements = maxPlacements;
  }

  /**
   * Replaces the sheet that later plans follow.
   *
   * @param next the sheet with ranks, shares, quotas and pair rules
   */
  public void useSheet(Sheet next) {
    sheet = next;
    pairs.loadRules(next);
  }

  /**
   * Processes a usage report, which may arrive with a delay.
   *
   * @param report the report of a worker
   */
  public void observeUsage(UsageReport report) {
    state.recordReport(report);
    model.observe(report);
    for (ServiceUsage service : report.services()) {
      pairs.observeLoad(service.service(), service.load());
    }
  }

  /**
   * Processes the end of an attempt.
   *
   * @param job the identifier of the job
   * @param worker the identifier of the worker that ran the attempt
   * @param reason the reason why the attempt ended
   */
  public void attemptEnded(String job, String worker, EndReason reason) {
    state.forgetCommands(job);
    switch (reason) {
      case DONE -> health.recordSuccess(job, worker);
      case FAILED -> health.recordFailure(job, worker);
      case CANCELLED, CHECKPOINTED, STOPPED, NOT_FOUND, LEASE_LAPSED, HORIZON_PASSED -> {
        // does not indicate whether the worker is healthy
      }
    }
  }

  /**
   * Returns whether a worker is quarantined, so that it receives only probe tasks.
   *
   * @param worker the identifier of the worker
   * @return whether the worker is quarantined
   */
  public boolean isQuarantined(String worker) {
    return health.isQuarantined(worker);
  }

  @Override
  public List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
    state.beginPlan(nowMillis);
    state.retainJobs(job -> isLive(ledger, job));
    CellView view = new CellView(ledger, sheet, pairs, state);
    budget.beginPlan(view.shares.workspaces(), nowMillis);
    List<PlannedAction> actions = new ArrayList<>();
    protect(view, nowMillis, actions);
    allocateReservations(view);
    probe(view, nowMillis, actions);
    placeWaiting(view, actions);
    return actions;
  }

  private static boolean isLive(CellLedger ledger, String job) {
    return ledger.job(job).filter(jobState -> !jobState.phase().isFinal()).isPresent();
  }

  private void protect(CellView view, long nowMillis, List<PlannedAction> actions) {
    switch (policy) {
      case ProtectionPolicy.Unprotected ignored -> {
        // services are not protected
      }
      case ProtectionPolicy.EvictOnly limit ->
          protection.evictFromSlowWorkers(view, limit.increaseLimit(), nowMillis, actions);
      case ProtectionPolicy.Graded limits -> protection.protect(view, limits, actions);
    }
  }

  private double placeLimit() {
    return policy instanceof ProtectionPolicy.Graded limits
        ? limits.placeLimit()
        : Double.MAX_VALUE;
  }

  private void allocateReservations(CellView view) {
    state.retainReservations(view);
    for (PlannerState.Reservation reservation : state.reservations().values()) {
      view.workerViewsById.get(reservation.worker()).allocate(reservation.demand());
    }
  }

  /**
   * Places one probe task on each idle quarantined worker that is due for one. Uses the job with
   * the fewest failures, and only one that another failure would not end.
   */
  private void probe(CellView view, long nowMillis, List<PlannedAction> actions) {
    for (WorkerView workerView : view.workerViews) {
      if (!workerView.quarantined
          || !workerView.tasks.isEmpty()
          || !health.isProbeDue(workerView.id, nowMillis)) {
        continue;
      }
      Optional<TaskView> candidate =
          view.waiting.stream()
              .filter(task -> canProbe(view, workerView, task))
              .min(Comparator.comparingInt(task -> task.job.failedOn().size()));
      if (candidate.isPresent()) {
        TaskView task = candidate.get();
        view.waiting.remove(task);
        view.place(workerView, task);
        health.recordProbe(workerView.id, nowMillis);
        actions.add(new PlannedAction.Place(task.id, workerView.id));
      }
    }
  }

  private static boolean canProbe(CellView view, WorkerView workerView, TaskView task) {
    return task.rank > URGENT_RANK
        && !task.isWatcher()
        && task.job.failedOn().size() < CellLedger.MAX_FAILED_WORKERS - 1
        && !task.job.failedOn().contains(workerView.id)
        && workerView.hasCapacityFor(task.demand)
        && view.shares.isWithinQuota(task.workspace, task.demand)
        && !view.pairs.hasRule(workerView, task, PairRow.Rule.APART);
  }

  private void placeWaiting(CellView view, List<PlannedAction> actions) {
    SampledWorkerSelector selector = new SampledWorkerSelector(view, health, placeLimit());
    UrgentPreemption preemption = new UrgentPreemption(view, state, budget, selector);
    SchedulingQueue queue = new SchedulingQueue(view.waiting, view.shares);
    Map<String, PlannerState.Reservation> reservations = state.reservations();
    int placed = 0;
    Optional<TaskView> next = queue.next();
    while (next.isPresent() && placed < maxPlacements) {
      TaskView task = next.get();
      if (view.shares.isWithinQuota(task.workspace, task.demand)) {
        WorkerView workerView = reservedWorker(view, selector, task, reservations.get(task.id));
        if (workerView == null) {
          workerView = selector.select(task);
        }
        if (workerView != null) {
          view.place(workerView, task);
          actions.add(new PlannedAction.Place(task.id, workerView.id));
          placed++;
        } else if (task.rank <= URGENT_RANK) {
          preemption.preempt(task, actions);
        }
      }
      next = queue.next();
    }
  }

  /**
   * Returns the worker on which resources are reserved for a task, or null if there is no
   * reservation or the resources are not free yet.
   */
  private static WorkerView reservedWorker(
      CellView view,
      SampledWorkerSelector selector,
      TaskView task,
      PlannerState.Reservation reservation) {
    if (reservation == null) {
      return null;
    }
    WorkerView workerView = view.workerViewsById.get(reservation.worker());
    workerView.release(reservation.demand());
    if (workerView.hasCapacityFor(task.demand) && selector.isAllowed(workerView, task)) {
      return workerView;
    }
    workerView.allocate(reservation.demand());
    return null;
  }
}
