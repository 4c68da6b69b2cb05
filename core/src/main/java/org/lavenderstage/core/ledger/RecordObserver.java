package org.lavenderstage.core.ledger;

import org.lavenderstage.core.record.LedgerRecord;

/** Is notified of every record that a stream has applied or rejected. */
@FunctionalInterface
public interface RecordObserver {
  /**
   * Called after a record was applied or rejected.
   *
   * @param at offset and append time of the record
   * @param record the record
   * @param effective whether the record took effect
   */
  void onRecordApplied(RecordPosition at, LedgerRecord record, boolean effective);
}
