package org.lavenderstage.core.placement;

import java.util.List;
import org.lavenderstage.core.ledger.cell.CellLedger;

/** Decides for one cell which jobs are placed, throttled and evicted. */
public interface CellPlanner {
  /**
   * Plans the next actions. The owner proposes placements to the log and commands the workers; an
   * action may fail, and is planned again then.
   *
   * @param ledger the cell as the log has it
   * @param nowMillis the log's time in milliseconds since 1970
   * @return the actions, the most urgent first
   */
  List<PlannedAction> plan(CellLedger ledger, long nowMillis);
}
