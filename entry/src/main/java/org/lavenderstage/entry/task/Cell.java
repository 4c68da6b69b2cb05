package org.lavenderstage.entry.task;

import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;

/**
 * This entry's access to one cell.
 *
 * @param name the name of the cell, which is that of its failure domain
 * @param replica this entry's replica of the cell's stream
 * @param appender the appender to the cell's stream
 */
public record Cell(String name, StreamReplica<CellLedger> replica, StreamAppender appender) {
  /**
   * Returns the name of a cell's stream.
   *
   * @param cell the name of the cell
   * @return the name of its stream
   */
  public static String streamName(String cell) {
    return "cell-" + cell;
  }
}
