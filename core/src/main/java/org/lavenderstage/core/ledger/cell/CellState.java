package org.lavenderstage.core.ledger.cell;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;

/**
 * The complete state of a cell.
 *
 * @param ownership which entry may propose placements
 * @param workers the workers, ordered by identifier
 * @param jobs the waiting, then the running, then the ended jobs, each group in the order of the
 *     ledger
 */
public record CellState(CellOwnership ownership, List<WorkerState> workers, List<JobState> jobs)
    implements FoldState {
  /** Copies the lists of workers and jobs. */
  public CellState {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
  }
}
