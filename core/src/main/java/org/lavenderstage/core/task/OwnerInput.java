package org.lavenderstage.core.task;

import java.util.List;
import org.lavenderstage.core.ledger.cell.CellLedger;

/**
 * The input to one decision of the owner of a cell.
 *
 * @param ledger the state of the cell according to the log; it is read only during the step
 * @param nowMillis this entry's estimate of the log's time in milliseconds since 1970
 * @param logAvailable whether the log currently answers appends
 * @param listedWorkers the workers of the cell in the list of VMs
 * @param draining whether this entry is about to stop
 */
public record OwnerInput(
    CellLedger ledger,
    long nowMillis,
    boolean logAvailable,
    List<ListedWorker> listedWorkers,
    boolean draining) {
  /** Creates an input with a copy of the list. */
  public OwnerInput {
    listedWorkers = List.copyOf(listedWorkers);
  }
}
