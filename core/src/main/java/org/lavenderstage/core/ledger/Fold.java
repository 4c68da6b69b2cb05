package org.lavenderstage.core.ledger;

import org.lavenderstage.core.record.LedgerRecord;

/**
 * The state of one stream of the log. Every process applies the same records in offset order and so
 * reaches the same state; an implementation must not read a clock or any input but its arguments.
 */
public interface Fold {
  /**
   * Applies one record where it is valid, and leaves the state as it is where it is not.
   *
   * @param at place and time of the record's append
   * @param record the proposal
   * @return whether the record took effect
   */
  boolean apply(RecordPosition at, LedgerRecord record);

  /**
   * Names the state by a digest that is equal on all processes at the same offset.
   *
   * @return hexadecimal digits
   */
  String digest();

  /**
   * Copies the whole state.
   *
   * @return a state from which {@link #restore} makes an equal fold
   */
  FoldState snapshot();

  /**
   * Replaces the whole state.
   *
   * @param state a state that {@link #snapshot} of the same kind of fold gave
   * @throws IllegalArgumentException where the state is of another kind of fold
   */
  void restore(FoldState state);
}
