package org.lavenderstage.entry;

import java.util.List;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.claim.ClaimLedger;
import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.entry.config.ConfigurationSync;
import org.lavenderstage.entry.log.AppendBudget;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.entry.task.Cell;

/** Gauges of an entry's state: claims, cell leases, tasks, append budget and configuration. */
final class EntryGauges {
  private static final double MILLIS_PER_SECOND = 1_000;

  private EntryGauges() {}

  /**
   * Registers the gauges.
   *
   * @param metrics the entry's metrics
   * @param entry incarnation of the entry
   * @param claims its replica of the claim stream
   * @param cells the cells with its replicas of their streams
   * @param budget its append budget
   * @param sync synchronization of its configuration
   */
  static void add(
      EntryMetrics metrics,
      String entry,
      StreamReplica<ClaimLedger> claims,
      List<Cell> cells,
      AppendBudget budget,
      ConfigurationSync sync) {
    metrics.gauge(
        "lavenderstage_claims",
        "Claims of requests that are kept.",
        () -> claims.read(stream -> stream.stateMachine().size()));
    metrics.gauge(
        "lavenderstage_owned_cells",
        "Cells whose last claim is this entry's.",
        () -> cells.stream().filter(cell -> owns(cell, entry)).count());
    metrics.gauge(
        "lavenderstage_cell_lease_seconds",
        "Shortest time that is left of the leases of this entry's cells, 0 for none.",
        () ->
            cells.stream()
                .filter(cell -> owns(cell, entry))
                .mapToDouble(EntryGauges::remainingLeaseSeconds)
                .min()
                .orElse(0));
    metrics.gauge(
        "lavenderstage_placed_tasks",
        "Tasks that hold a worker's resources in any cell.",
        () -> cells.stream().mapToLong(EntryGauges::placed).sum());
    metrics.gauge(
        "lavenderstage_append_tokens", "Appends that may be made at once.", budget::tokens);
    metrics.gauge(
        "lavenderstage_sheet_current",
        "Whether log or peers confirm the sheet's version: 1 or 0.",
        () -> sync.isCurrent() ? 1 : 0);
  }

  private static boolean owns(Cell cell, String entry) {
    return cell.replica()
        .read(
            stream -> stream.stateMachine().ownership().owner().filter(entry::equals).isPresent());
  }

  private static double remainingLeaseSeconds(Cell cell) {
    long remainingMillis =
        cell.replica().read(stream -> stream.stateMachine().ownership().leaseUntilMillis())
            - cell.replica().logNowMillis();
    return Math.max(0, remainingMillis) / MILLIS_PER_SECOND;
  }

  private static long placed(Cell cell) {
    return cell.replica().read(stream -> placed(stream.stateMachine()));
  }

  private static long placed(CellLedger ledger) {
    return ledger.jobs().stream().filter(job -> job.phase() == JobPhase.PLACED).count();
  }
}
