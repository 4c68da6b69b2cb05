package org.lavenderstage.core.ledger;

import java.util.List;

/**
 * The state of a stream after a batch, for snapshots.
 *
 * @param nextOffset offset of the first batch that the state does not cover
 * @param lastAppendTimeMillis append time of the last batch that it covers, in milliseconds since
 *     1970
 * @param writers the last batch of each writer, ordered by writer
 * @param fold state of the stream's state machine
 */
public record StreamState(
    long nextOffset, long lastAppendTimeMillis, List<WriterMark> writers, FoldState fold) {
  /** Copies the list of writers. */
  public StreamState {
    writers = List.copyOf(writers);
  }
}
