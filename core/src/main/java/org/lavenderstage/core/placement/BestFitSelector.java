package org.lavenderstage.core.placement;

import java.util.Collection;
import java.util.Optional;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.ledger.cell.WorkerState;

/** Selects the worker for a task by best fit: the one with the least free CPU on which it fits. */
public final class BestFitSelector {
  private BestFitSelector() {}

  /**
   * Selects a worker for a job, other than those on which the job has failed.
   *
   * @param job the job to place
   * @param workers the workers to select from
   * @return the worker, or empty if the job currently fits on none
   */
  public static Optional<WorkerState> select(JobState job, Collection<WorkerState> workers) {
    WorkerState best = null;
    for (WorkerState worker : workers) {
      boolean fits = job.demand().fitsIn(worker.free());
      boolean failedOnWorker = job.failedOn().contains(worker.registered().worker());
      if (fits
          && !failedOnWorker
          && (best == null || freeCpuMillis(worker) < freeCpuMillis(best))) {
        best = worker;
      }
    }
    return Optional.ofNullable(best);
  }

  private static long freeCpuMillis(WorkerState worker) {
    return worker.free().cpuMillis();
  }
}
