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
 * Places jobs by need, protects services by what late reports taught, keeps jobs from bad workers
 * and frees room for urgent ones. It remembers its own commands and is told of reports and ends; a
 * planner that starts anew learns again.
 */
public final class AdaptivePlanner implements CellPlanner {
  private static final int URGENT_RANK = 0;
  private static final int EVICTIONS_PER_WINDOW = 6;
  private static final long EVICTION_WINDOW_MILLIS = 60_000;
  private static final int EVICTION_LEAD = 1;
  private static final long PROBE_INTERVAL_MILLIS = 450_000;

  private final ProtectionPolicy policy;
  private final int maxPlacements;
  private final InterferenceModel model = new InterferenceModel();
  private final PairTable pairs = new PairTable(model);
  private final WorkerHealth health = new WorkerHealth(PROBE_INTERVAL_MILLIS);
  private final PlannerMemory memory = new PlannerMemory(health);
  private final EvictionBudget budget =
      new EvictionBudget(EVICTIONS_PER_WINDOW, EVICTION_WINDOW_MILLIS, EVICTION_LEAD);
  private final ServiceProtection protection = new ServiceProtection(memory, model, budget);
  private Sheet sheet = Sheet.EMPTY;

  /**
   * Makes a planner without evidence.
   *
   * @param policy how services are protected
   * @param maxPlacements most placements in one plan
   */
  public AdaptivePlanner(ProtectionPolicy policy, int maxPlacements) {
    this.policy = policy;
    this.maxPlacements = maxPlacements;
  }

  /**
   * Puts another sheet in force.
   *
   * @param next ranks, shares, quotas and pair rules
   */
  public void useSheet(Sheet next) {
    sheet = next;
    pairs.use(next);
  }

  /**
   * Takes in a late report.
   *
   * @param report what a worker measured
   */
  public void observe(UsageReport report) {
    memory.report(report);
    model.observe(report);
    for (ServiceUsage service : report.services()) {
      pairs.load(service.service(), service.load());
    }
  }

  /**
   * Takes in the end of an attempt.
   *
   * @param job identifier of the job
   * @param worker worker of the attempt
   * @param reason why it ended
   */
  public void attemptEnded(String job, String worker, EndReason reason) {
    memory.forget(job);
    switch (reason) {
      case DONE -> health.succeeded(job, worker);
      case FAILED -> health.failed(job, worker);
      case CANCELLED, CHECKPOINTED, STOPPED, NOT_FOUND, LEASE_LAPSED, HORIZON_PASSED -> {
        // says nothing of the worker's health
      }
    }
  }

  /**
   * Tells whether a worker gets probes only.
   *
   * @param worker identifier of the worker
   * @return whether it is quarantined
   */
  public boolean isQuarantined(String worker) {
    return health.isQuarantined(worker);
  }

  @Override
  public List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
    memory.begin(nowMillis);
    memory.retainJobs(job -> isLive(ledger, job));
    CellView view = new CellView(ledger, sheet, pairs, memory);
    budget.begin(view.shares.running(), nowMillis);
    List<PlannedAction> actions = new ArrayList<>();
    protect(view, nowMillis, actions);
    holdReservations(view);
    probe(view, nowMillis, actions);
    placeWaiting(view, actions);
    return actions;
  }

  private static boolean isLive(CellLedger ledger, String job) {
    return ledger.job(job).filter(state -> !state.phase().isFinal()).isPresent();
  }

  private void protect(CellView view, long nowMillis, List<PlannedAction> actions) {
    switch (policy) {
      case ProtectionPolicy.Ignore ignored -> {
        // services are on their own
      }
      case ProtectionPolicy.EvictOnly limit ->
          protection.evictOnly(view, limit.riseLimit(), nowMillis, actions);
      case ProtectionPolicy.Graded limits -> protection.protect(view, limits, actions);
    }
  }

  private double placeLimit() {
    return policy instanceof ProtectionPolicy.Graded limits
        ? limits.placeLimit()
        : Double.MAX_VALUE;
  }

  private void holdReservations(CellView view) {
    memory.retainReservations(view);
    for (PlannerMemory.Reservation reservation : memory.reservations().values()) {
      view.slotByWorker.get(reservation.worker()).take(reservation.demand());
    }
  }

  /** Gives each quarantined worker that is due one task, which another failure would not end. */
  private void probe(CellView view, long nowMillis, List<PlannedAction> actions) {
    for (WorkerSlot slot : view.slots) {
      if (!slot.quarantined || !slot.tasks.isEmpty() || !health.isProbeDue(slot.id, nowMillis)) {
        continue;
      }
      Optional<TaskView> candidate =
          view.waiting.stream()
              .filter(task -> canProbe(view, slot, task))
              .min(Comparator.comparingInt(task -> task.job.failedOn().size()));
      if (candidate.isPresent()) {
        TaskView task = candidate.get();
        view.waiting.remove(task);
        view.place(slot, task);
        health.probe(slot.id, nowMillis);
        actions.add(new PlannedAction.Place(task.id, slot.id));
      }
    }
  }

  private static boolean canProbe(CellView view, WorkerSlot slot, TaskView task) {
    return task.rank > URGENT_RANK
        && !task.isWatcher()
        && task.job.failedOn().size() < CellLedger.MAX_FAILED_WORKERS - 1
        && !task.job.failedOn().contains(slot.id)
        && slot.hasRoomFor(task.demand)
        && view.shares.isWithinQuota(task.workspace, task.demand)
        && !view.pairs.has(slot, task, PairRow.Rule.APART);
  }

  private void placeWaiting(CellView view, List<PlannedAction> actions) {
    BinChoice bins = new BinChoice(view, health, placeLimit());
    UrgentRoom urgentRoom = new UrgentRoom(view, memory, budget, bins);
    NeedOrder order = new NeedOrder(view.waiting, view.shares);
    Map<String, PlannerMemory.Reservation> reservations = memory.reservations();
    int placed = 0;
    Optional<TaskView> next = order.next();
    while (next.isPresent() && placed < maxPlacements) {
      TaskView task = next.get();
      if (view.shares.isWithinQuota(task.workspace, task.demand)) {
        WorkerSlot slot = reserved(view, bins, task, reservations.get(task.id));
        if (slot == null) {
          slot = bins.choose(task);
        }
        if (slot != null) {
          view.place(slot, task);
          actions.add(new PlannedAction.Place(task.id, slot.id));
          placed++;
        } else if (task.rank <= URGENT_RANK) {
          urgentRoom.free(task, actions);
        }
      }
      next = order.next();
    }
  }

  /** Returns the worker whose room is kept for a task, null where it is not free yet. */
  private static WorkerSlot reserved(
      CellView view, BinChoice bins, TaskView task, PlannerMemory.Reservation reservation) {
    if (reservation == null) {
      return null;
    }
    WorkerSlot slot = view.slotByWorker.get(reservation.worker());
    slot.giveBack(reservation.demand());
    if (slot.hasRoomFor(task.demand) && bins.isAllowed(slot, task)) {
      return slot;
    }
    slot.take(reservation.demand());
    return null;
  }
}
