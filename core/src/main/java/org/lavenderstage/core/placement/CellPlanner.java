package org.lavenderstage.core.placement;

import java.util.List;
import org.lavenderstage.core.ledger.cell.CellLedger;

/** Decides which jobs of one cell are placed, throttled and evicted. */
public interface CellPlanner {
  /**
   * Plans the next actions. The owner of the cell proposes placements to the log and sends commands
   * to workers. An action may fail; a later plan then contains it again.
   *
   * @param ledger the state of the cell according to the log
   * @param nowMillis the log's time in milliseconds since 1970
   * @return the actions, most urgent first
   */
  List<PlannedAction> plan(CellLedger ledger, long nowMillis);
}
