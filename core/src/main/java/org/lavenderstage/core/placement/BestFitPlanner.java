package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;

/** Places every waiting job on the worker with the least free CPU on which it fits. */
public final class BestFitPlanner implements CellPlanner {
  private final int maxPlacements;

  /**
   * Creates a planner.
   *
   * @param maxPlacements the maximum number of placements in one plan
   */
  public BestFitPlanner(int maxPlacements) {
    this.maxPlacements = maxPlacements;
  }

  @Override
  public List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
    Map<String, WorkerState> workers = new HashMap<>();
    ledger.workers().forEach(worker -> workers.put(worker.registered().worker(), worker));
    List<PlannedAction> actions = new ArrayList<>();
    for (JobState job : ledger.waitingJobs()) {
      if (actions.size() >= maxPlacements) {
        break;
      }
      place(job, workers).ifPresent(actions::add);
    }
    return actions;
  }

  private static Optional<PlannedAction> place(JobState job, Map<String, WorkerState> workers) {
    Optional<WorkerState> worker = BestFitSelector.select(job, workers.values());
    worker.ifPresent(
        chosen ->
            workers.put(
                chosen.registered().worker(),
                new WorkerState(chosen.registered(), chosen.used().plus(job.demand()))));
    return worker.map(
        chosen -> new PlannedAction.Place(job.accepted().job(), chosen.registered().worker()));
  }
}
