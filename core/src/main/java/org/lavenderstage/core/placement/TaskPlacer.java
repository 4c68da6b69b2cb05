package org.lavenderstage.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;

/** Chooses the worker for a task: the one with the least room left over in which the task fits. */
public final class TaskPlacer {
  private TaskPlacer() {}

  /**
   * Chooses a worker.
   *
   * @param job the job to place
   * @param workers the workers of the cell
   * @return the worker, empty where the job fits nowhere now
   */
  public static Optional<WorkerState> choose(JobState job, Collection<WorkerState> workers) {
    WorkerState best = null;
    for (WorkerState worker : workers) {
      boolean fits = job.demand().fitsIn(worker.free());
      boolean failedHere = job.failedOn().contains(worker.registered().worker());
      if (fits && !failedHere && (best == null || room(worker) < room(best))) {
        best = worker;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long room(WorkerState worker) {
    return worker.free().cpuMillis();
  }
}
