package org.lavenderstage.core.ledger;

import org.lavenderstage.core.record.LedgerRecord;

/**
 * The replicated state machine of one stream of the log. Every process applies the same records in
 * offset order and so reaches the same state. An implementation must therefore be deterministic: it
 * must not read a clock or any input other than its arguments.
 */
public interface StateMachine {
  /**
   * Applies one record if it is valid; otherwise leaves the state unchanged.
   *
   * @param at offset and append time of the record
   * @param record the record
   * @return whether the record took effect
   */
  boolean apply(RecordPosition at, LedgerRecord record);

  /**
   * Returns a digest of the state, which is equal in all processes at the same offset.
   *
   * @return the digest in hexadecimal digits
   */
  String digest();

  /**
   * Returns a copy of the complete state.
   *
   * @return a state from which {@link #restore} creates an equal state machine
   */
  FoldState snapshot();

  /**
   * Replaces the complete state.
   *
   * @param state a state that {@link #snapshot} of the same kind of state machine returned
   * @throws IllegalArgumentException if the state is of another kind of state machine
   */
  void restore(FoldState state);
}
