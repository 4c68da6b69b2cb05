package org.lavenderstage.entry.admin;

import org.lavenderstage.core.ledger.StateMachine;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.entry.task.Cell;

/** Creates the parts of the state dump that come from the replicas of the streams. */
public final class StateDumps {
  private StateDumps() {}

  /**
   * Creates the dump of a replica.
   *
   * @param replica replica of a stream
   * @param <F> type of the stream's state machine
   * @return the dump
   */
  public static <F extends StateMachine> StateDump.StreamDump of(StreamReplica<F> replica) {
    return replica.read(
        stream ->
            new StateDump.StreamDump(
                replica.stream(),
                stream.nextOffset(),
                stream.stateMachine().digest(),
                replica.lag(),
                replica.isReachable(),
                stream.duplicateBatches(),
                stream.unknownRecords(),
                stream.invalidRecords()));
  }

  /**
   * Creates the dump of a cell.
   *
   * @param cell the cell
   * @return the dump
   */
  public static StateDump.CellDump of(Cell cell) {
    return cell.replica()
        .read(
            stream -> {
              CellLedger ledger = stream.stateMachine();
              return new StateDump.CellDump(
                  cell.name(),
                  ledger.ownership().owner().orElse(""),
                  ledger.ownership().epoch(),
                  ledger.workers().size(),
                  ledger.jobs().size(),
                  ledger.placedJobs().size());
            });
  }
}
