package org.lavenderstage.entry.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;
import org.lavenderstage.core.placement.CellPlanner;
import org.lavenderstage.core.placement.PlannedAction;

/**
 * Places the attempts of a job on different workers in turn, and evicts once each job selected by
 * {@link TaskSimulation#isToBeEvicted}.
 */
final class RotatingPlanner implements CellPlanner {
  private static final long EVICT_AFTER_MILLIS = 6000;

  private final long horizonMillis;

  RotatingPlanner(long horizonMillis) {
    this.horizonMillis = horizonMillis;
  }

  @Override
  public List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
    List<PlannedAction> actions = new ArrayList<>();
    Map<String, WorkerState> updatedWorkers = new HashMap<>();
    List<WorkerState> workers = List.copyOf(ledger.workers());
    for (JobState job : ledger.waitingJobs()) {
      choose(job, workers, updatedWorkers).ifPresent(actions::add);
    }
    for (JobState job : ledger.placedJobs()) {
      long placedAtMillis = job.untilMillis() - horizonMillis;
      if (job.attempt() == 1
          && TaskSimulation.isToBeEvicted(job)
          && nowMillis - placedAtMillis > EVICT_AFTER_MILLIS) {
        actions.add(new PlannedAction.Evict(job.accepted().job()));
      }
    }
    return actions;
  }

  private static Optional<PlannedAction> choose(
      JobState job, List<WorkerState> workers, Map<String, WorkerState> updatedWorkers) {
    if (workers.isEmpty()) {
      return Optional.empty();
    }
    int first = Math.floorMod(job.accepted().job().hashCode() + job.attempt(), workers.size());
    for (int i = 0; i < workers.size(); i++) {
      WorkerState listed = workers.get((first + i) % workers.size());
      String id = listed.registered().worker();
      WorkerState worker = updatedWorkers.getOrDefault(id, listed);
      if (job.demand().fitsIn(worker.free())) {
        updatedWorkers.put(
            id, new WorkerState(worker.registered(), worker.used().plus(job.demand())));
        return Optional.of(new PlannedAction.Place(job.accepted().job(), id));
      }
    }
    return Optional.empty();
  }
}
