package org.lavenderstage.entry.admin;

import java.util.List;
import org.lavenderstage.core.membership.Member;

/**
 * All that an entry knows, for operators.
 *
 * @param entry incarnation of the entry
 * @param vm VM of the entry
 * @param ready whether it takes new work
 * @param sheetVersion version of the sheet in force
 * @param streams its copies of the log's streams
 * @param cells the cells as the log has them
 * @param members the live entries
 * @param queued requests that wait for a slot
 * @param inFlight requests at executors
 */
public record StateDump(
    String entry,
    String vm,
    boolean ready,
    long sheetVersion,
    List<StreamDump> streams,
    List<CellDump> cells,
    List<Member> members,
    int queued,
    int inFlight) {
  /** Copies the lists. */
  public StateDump {
    streams = List.copyOf(streams);
    cells = List.copyOf(cells);
    members = List.copyOf(members);
  }

  /**
   * One copy of a stream.
   *
   * @param stream name of the stream
   * @param nextOffset first offset that was not applied yet
   * @param digest digest of the folded state
   * @param reachable whether the last read was answered
   * @param duplicateBatches batches that were read a second time
   * @param unknownRecords records of a kind that this version does not know
   * @param invalidRecords records that were not valid at their place
   */
  public record StreamDump(
      String stream,
      long nextOffset,
      String digest,
      boolean reachable,
      long duplicateBatches,
      long unknownRecords,
      long invalidRecords) {}

  /**
   * One cell.
   *
   * @param cell name of the cell
   * @param owner incarnation of its owner, empty for none
   * @param epoch epoch of the last claim
   * @param workers count of its workers
   * @param jobs count of its jobs
   * @param placed count of its jobs that hold a worker's resources
   */
  public record CellDump(
      String cell, String owner, long epoch, int workers, int jobs, long placed) {}
}
