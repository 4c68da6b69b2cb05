package org.lavenderstage.core.ledger.cell;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;

/**
 * The whole state of a cell.
 *
 * @param ownership who may propose placements
 * @param workers the workers in the order of their names
 * @param jobs the jobs: those that wait, that run and that have ended, each in the order of the
 *     ledger
 */
public record CellState(CellOwnership ownership, List<WorkerState> workers, List<JobState> jobs)
    implements FoldState {
  /** Copies the lists. */
  public CellState {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
  }
}
