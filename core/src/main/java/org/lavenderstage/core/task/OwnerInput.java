package org.lavenderstage.core.task;

import java.util.List;
import org.lavenderstage.core.ledger.cell.CellLedger;

/**
 * What the owner of a cell sees at one time.
 *
 * @param ledger the cell as the log has it; read only during the step
 * @param nowMillis this entry's estimate of the log's time in milliseconds since 1970
 * @param logAnswers whether appends are answered at present
 * @param listed workers of the cell on the list of VMs
 * @param draining whether this entry is about to stop
 */
public record OwnerInput(
    CellLedger ledger,
    long nowMillis,
    boolean logAnswers,
    List<ListedWorker> listed,
    boolean draining) {
  /** Copies the list. */
  public OwnerInput {
    listed = List.copyOf(listed);
  }
}
