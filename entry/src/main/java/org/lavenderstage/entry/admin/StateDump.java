package org.lavenderstage.entry.admin;

import java.util.List;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.wire.platform.VmEntry;

/**
 * All that an entry knows, for operators.
 *
 * @param entry incarnation of the entry
 * @param vm VM of the entry
 * @param domain failure domain of the entry
 * @param ready whether it takes new work
 * @param draining whether it takes no new work because it is about to stop
 * @param sheetVersion version of the sheet in force
 * @param configuration the sheet in force and whether it is the newest one
 * @param streams its copies of the log's streams
 * @param cells the cells as the log has them
 * @param members the live entries
 * @param vms the platform's list of VMs as last read
 * @param appendTokens appends that may be made at once
 * @param queued requests that wait for a slot
 * @param inFlight requests at executors
 */
public record StateDump(
    String entry,
    String vm,
    String domain,
    boolean ready,
    boolean draining,
    long sheetVersion,
    ConfigurationDump configuration,
    List<StreamDump> streams,
    List<CellDump> cells,
    List<Member> members,
    List<VmEntry> vms,
    double appendTokens,
    int queued,
    int inFlight) {
  /** Copies the lists. */
  public StateDump {
    streams = List.copyOf(streams);
    cells = List.copyOf(cells);
    members = List.copyOf(members);
    vms = List.copyOf(vms);
  }

  /**
   * The sheet in force, without its tokens.
   *
   * @param version number of the version
   * @param digest SHA-256 of its text
   * @param committedAtMillis append time of its commit
   * @param rows count of its rows
   * @param current whether log or peers confirm that it is the newest one
   * @param pendingSheets publications whose commit was not read yet
   * @param pendingCharacters characters of their parts
   */
  public record ConfigurationDump(
      long version,
      String digest,
      long committedAtMillis,
      int rows,
      boolean current,
      int pendingSheets,
      long pendingCharacters) {}

  /**
   * One copy of a stream.
   *
   * @param stream name of the stream
   * @param nextOffset first offset that was not applied yet
   * @param digest digest of the folded state
   * @param lagRecords records that the log holds beyond this copy
   * @param reachable whether the last read was answered
   * @param duplicateBatches batches that were read a second time
   * @param unknownRecords records of a kind that this version does not know
   * @param invalidRecords records that were not valid at their place
   */
  public record StreamDump(
      String stream,
      long nextOffset,
      String digest,
      long lagRecords,
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
