package org.lavenderstage.wire.codec;

import java.util.Optional;
import org.lavenderstage.core.ledger.SnapshotAssembler;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/**
 * Looks through the records that the log still keeps for a snapshot from which the stream can be
 * read on without a gap.
 */
public final class SnapshotSearch {
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long nextOffset;

  /**
   * Starts to look.
   *
   * @param fromOffset first offset that the log keeps
   */
  public SnapshotSearch(long fromOffset) {
    nextOffset = fromOffset;
  }

  /**
   * Returns where to read on.
   *
   * @return first offset that was not looked at yet
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Looks through one page.
   *
   * @param page records from the next offset on
   * @return a state whose next offset the log still keeps, empty where the page completes none
   */
  public Optional<StreamState> look(LogPage page) {
    nextOffset = Math.max(nextOffset, page.firstKeptOffset());
    for (StoredRecord record : page.records()) {
      nextOffset = record.offset() + 1;
      Optional<StreamState> state =
          look(record).filter(found -> found.nextOffset() >= page.firstKeptOffset());
      if (state.isPresent()) {
        return state;
      }
    }
    return Optional.empty();
  }

  private Optional<StreamState> look(StoredRecord stored) {
    try {
      RecordBatch batch = LedgerCodec.decode(stored.bytes());
      for (LedgerRecord record : batch.records()) {
        Optional<byte[]> bytes = assembler.take(record);
        if (bytes.isPresent()) {
          return Optional.of(StateCodec.decode(bytes.get()));
        }
      }
    } catch (MalformedMessageException e) {
      // a record that cannot be read is no snapshot
    }
    return Optional.empty();
  }
}
