package org.lavenderstage.entry.task;

import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;

/**
 * One cell as this entry sees it.
 *
 * @param name name of the cell, which is that of its failure domain
 * @param replica this entry's copy of the cell's stream
 * @param appender appends to the cell's stream
 */
public record Cell(String name, StreamReplica<CellLedger> replica, StreamAppender appender) {
  /**
   * Names a cell's stream.
   *
   * @param cell name of the cell
   * @return name of its stream
   */
  public static String streamName(String cell) {
    return "cell-" + cell;
  }
}
