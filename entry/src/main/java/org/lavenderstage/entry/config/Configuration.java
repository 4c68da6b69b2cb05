package org.lavenderstage.entry.config;

import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.wire.csv.SheetReader;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Holds the newest committed sheet. A version is only ever replaced by a later one. */
public final class Configuration {
  private final StreamReplica<SheetLedger> replica;
  private volatile SheetVersion source = SheetVersion.NONE;
  private volatile SheetInForce inForce = new SheetInForce(0, Sheet.EMPTY);

  /**
   * Follows the configuration stream.
   *
   * @param replica this entry's copy of the stream, not started yet
   */
  public Configuration(StreamReplica<SheetLedger> replica) {
    this.replica = replica;
    replica.observe(this::judged);
    replica.observeRestore(this::adoptCurrent);
  }

  private void judged(RecordPosition at, LedgerRecord record, boolean effective) {
    if (effective && record instanceof SheetCommitted) {
      adoptCurrent();
    }
  }

  private void adoptCurrent() {
    boolean unused = adopt(replica.read(stream -> stream.fold().current()));
  }

  /**
   * Puts a version in force where it is newer than the present one.
   *
   * @param version the version, from the log or from a peer
   * @return whether it is in force now
   */
  synchronized boolean adopt(SheetVersion version) {
    if (version.version() <= inForce.version()) {
      return false;
    }
    SheetCheck check = SheetReader.read(version.text());
    if (check.sheet().isEmpty()) {
      EventLog.warn(LogEvent.SHEET_UNREADABLE, "version", version.version());
      return false;
    }
    source = version;
    inForce = new SheetInForce(version.version(), check.sheet().get());
    EventLog.info(
        LogEvent.SHEET_IN_FORCE, "version", version.version(), "rows", inForce.sheet().size());
    return true;
  }

  /**
   * Returns the version in force with its text.
   *
   * @return the version
   */
  public SheetVersion source() {
    return source;
  }

  /**
   * Returns the sheet in force.
   *
   * @return the sheet with its version
   */
  public SheetInForce inForce() {
    return inForce;
  }
}
