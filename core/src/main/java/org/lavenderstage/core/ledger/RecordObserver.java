package org.lavenderstage.core.ledger;

import org.lavenderstage.core.record.LedgerRecord;

/** Is told of every record that a fold has judged. */
@FunctionalInterface
public interface RecordObserver {
  /**
   * Tells of one record.
   *
   * @param at place and time of the record's append
   * @param record the proposal
   * @param effective whether it took effect
   */
  void judged(RecordPosition at, LedgerRecord record, boolean effective);
}
