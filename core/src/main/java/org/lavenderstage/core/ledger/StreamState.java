package org.lavenderstage.core.ledger;

import java.util.List;

/**
 * The state of a stream after a record, for snapshots.
 *
 * @param nextOffset first offset that the state does not cover
 * @param lastAppendTimeMillis append time of the last record that it covers
 * @param writers the last batch of each writer, in the order of their names
 * @param fold state of the fold
 */
public record StreamState(
    long nextOffset, long lastAppendTimeMillis, List<WriterMark> writers, FoldState fold) {
  /** Copies the marks. */
  public StreamState {
    writers = List.copyOf(writers);
  }
}
