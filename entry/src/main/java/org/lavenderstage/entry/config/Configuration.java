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

/** Holds the newest committed sheet. A version is replaced by a later one only. */
public final class Configuration {
  private final StreamReplica<SheetLedger> replica;
  private volatile SheetVersion sourceVersion = SheetVersion.NONE;
  private volatile SheetInForce inForce = new SheetInForce(0, Sheet.EMPTY);

  /**
   * Creates a configuration that observes the configuration stream.
   *
   * @param replica this entry's replica of the stream, not started yet
   */
  public Configuration(StreamReplica<SheetLedger> replica) {
    this.replica = replica;
    replica.observe(this::onRecordApplied);
    replica.observeRestore(this::adoptCurrent);
  }

  private void onRecordApplied(RecordPosition at, LedgerRecord record, boolean effective) {
    if (effective && record instanceof SheetCommitted) {
      adoptCurrent();
    }
  }

  private void adoptCurrent() {
    boolean unused = adopt(replica.read(stream -> stream.stateMachine().current()));
  }

  /**
   * Puts a version in force if it is newer than the present one and can be read.
   *
   * @param version version from the log or from a peer
   * @return whether this call has put it in force
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
    sourceVersion = version;
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
  public SheetVersion sourceVersion() {
    return sourceVersion;
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
