package org.lavenderstage.core.placement;

import java.util.List;
import org.lavenderstage.core.interference.UsageReport;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.sheet.Sheet;

/** The planner under test. Subclasses override one method to introduce a defect. */
class PlannerUnderTest {
  final AdaptivePlanner planner;

  PlannerUnderTest(ProtectionPolicy policy) {
    planner = new AdaptivePlanner(policy, 100);
  }

  List<PlannedAction> plan(CellLedger ledger, long nowMillis) {
    return planner.plan(ledger, nowMillis);
  }

  void setSheet(Sheet sheet) {
    planner.useSheet(sheet);
  }

  void deliverReport(UsageReport report) {
    planner.observeUsage(report);
  }

  void attemptEnded(String job, String worker, EndReason reason) {
    planner.attemptEnded(job, worker, reason);
  }
}
