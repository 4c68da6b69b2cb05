package org.lavenderstage.core.task;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;
import org.lavenderstage.core.placement.BestFitSelector;

/** The room on the workers that can be reached, less what one plan has taken. */
final class PlacementTally {
  private final Map<String, WorkerState> workers = new HashMap<>();

  PlacementTally(CellLedger ledger, Predicate<String> available) {
    for (WorkerState worker : ledger.workers()) {
      if (available.test(worker.registered().worker())) {
        workers.put(worker.registered().worker(), worker);
      }
    }
  }

  /** Takes room on the planned worker, or on another where that one cannot be used now. */
  Optional<String> take(JobState job, String planned) {
    Optional<WorkerState> chosen =
        Optional.ofNullable(workers.get(planned))
            .filter(worker -> job.demand().fitsIn(worker.free()))
            .or(() -> BestFitSelector.select(job, workers.values()));
    chosen.ifPresent(worker -> hold(worker, job));
    return chosen.map(worker -> worker.registered().worker());
  }

  private void hold(WorkerState worker, JobState job) {
    WorkerState held = new WorkerState(worker.registered(), worker.used().plus(job.demand()));
    workers.put(worker.registered().worker(), held);
  }
}
