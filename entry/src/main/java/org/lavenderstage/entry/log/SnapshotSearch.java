package org.lavenderstage.entry.log;

import java.util.Optional;
import org.lavenderstage.core.ledger.SnapshotAssembler;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/**
 * Looks through the records that the log still keeps for a snapshot from which the stream can be
 * read on without a gap.
 */
final class SnapshotSearch {
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long nextOffset;

  SnapshotSearch(long fromOffset) {
    nextOffset = fromOffset;
  }

  /** First offset that was not looked at yet. */
  long nextOffset() {
    return nextOffset;
  }

  /**
   * Looks through one page.
   *
   * @return a state whose next offset the log still keeps, empty where the page completes none
   */
  Optional<StreamState> look(LogPage page) {
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
