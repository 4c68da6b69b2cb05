package org.lavenderstage.core.task;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;
import org.lavenderstage.core.placement.BestFitSelector;

/** Tracks the free resources of the available workers while the placements of one plan are made. */
final class PlacementCapacity {
  private final Map<String, WorkerState> workers = new HashMap<>();

  PlacementCapacity(CellLedger ledger, Predicate<String> available) {
    for (WorkerState worker : ledger.workers()) {
      if (available.test(worker.registered().worker())) {
        workers.put(worker.registered().worker(), worker);
      }
    }
  }

  /**
   * Allocates resources for a job on the planned worker, or on another one if the planned worker is
   * unavailable or full. Returns the chosen worker, or empty if the job fits on none.
   */
  Optional<String> allocate(JobState job, String planned) {
    Optional<WorkerState> chosen =
        Optional.ofNullable(workers.get(planned))
            .filter(worker -> job.demand().fitsIn(worker.free()))
            .or(() -> BestFitSelector.select(job, workers.values()));
    chosen.ifPresent(worker -> recordAllocation(worker, job));
    return chosen.map(worker -> worker.registered().worker());
  }

  private void recordAllocation(WorkerState worker, JobState job) {
    WorkerState updated = new WorkerState(worker.registered(), worker.used().plus(job.demand()));
    workers.put(worker.registered().worker(), updated);
  }
}
