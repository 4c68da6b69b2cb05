package org.lavenderstage.entry.admin;

import java.util.List;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.wire.platform.VmEntry;

/**
 * The state of an entry, for operators.
 *
 * @param entry incarnation of the entry
 * @param vm VM of the entry
 * @param domain failure domain of the entry
 * @param ready whether it accepts new work
 * @param draining whether it is about to stop and accepts no new work
 * @param sheetVersion version of the sheet in force
 * @param configuration the sheet in force and whether it is the newest one
 * @param streams its replicas of the log's streams
 * @param cells the cells by the state of its replicas
 * @param members the live entries
 * @param vms the platform's list of VMs as last read
 * @param appendTokens number of appends that may be made at once
 * @param queued number of requests that wait for a slot
 * @param inFlight number of requests at executors
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
  /** Creates a dump with copies of the lists. */
  public StateDump {
    streams = List.copyOf(streams);
    cells = List.copyOf(cells);
    members = List.copyOf(members);
    vms = List.copyOf(vms);
  }

  /**
   * The sheet in force, without its tokens.
   *
   * @param version version number
   * @param digest SHA-256 of the sheet's text
   * @param committedAtMillis append time of its commit in milliseconds since 1970
   * @param rows number of its rows
   * @param current whether the log or the peers confirm that it is the newest version
   * @param pendingSheets number of publications whose commit was not read yet
   * @param pendingCharacters number of characters of their parts
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
   * A replica of a stream.
   *
   * @param stream name of the stream
   * @param nextOffset first offset that was not applied yet
   * @param digest digest of the state
   * @param lagRecords number of records in the log that were not applied yet
   * @param reachable whether the last read got a reply
   * @param duplicateBatches number of batches that were read more than once
   * @param unknownRecords number of records of a kind unknown to this version
   * @param invalidRecords number of records that the state rejected as invalid
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
   * A cell.
   *
   * @param cell name of the cell
   * @param owner incarnation of its owner, empty if it has none
   * @param epoch epoch of the last claim
   * @param workers number of its workers
   * @param jobs number of its jobs
   * @param placed number of its jobs that occupy resources of a worker
   */
  public record CellDump(
      String cell, String owner, long epoch, int workers, int jobs, long placed) {}
}
