package org.lavenderstage.wire.codec;

import java.util.Optional;
import org.lavenderstage.core.ledger.SnapshotAssembler;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/**
 * Searches the records that the log still keeps for a snapshot after which reading can continue
 * without a gap.
 */
public final class SnapshotSearch {
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long nextOffset;

  /**
   * Creates a search.
   *
   * @param fromOffset first offset that the log still keeps
   */
  public SnapshotSearch(long fromOffset) {
    nextOffset = fromOffset;
  }

  /**
   * Returns where to continue reading.
   *
   * @return first offset that was not searched yet
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Searches a page.
   *
   * @param page records from the next offset on
   * @return state of a snapshot completed by this page whose next offset the log still keeps, empty
   *     if there is none
   */
  public Optional<StreamState> search(LogPage page) {
    nextOffset = Math.max(nextOffset, page.firstKeptOffset());
    for (StoredRecord record : page.records()) {
      nextOffset = record.offset() + 1;
      Optional<StreamState> state =
          search(record).filter(found -> found.nextOffset() >= page.firstKeptOffset());
      if (state.isPresent()) {
        return state;
      }
    }
    return Optional.empty();
  }

  private Optional<StreamState> search(StoredRecord stored) {
    try {
      RecordBatch batch = LedgerCodec.decode(stored.bytes());
      for (LedgerRecord record : batch.records()) {
        Optional<byte[]> bytes = assembler.add(record);
        if (bytes.isPresent()) {
          return Optional.of(StateCodec.decode(bytes.get()));
        }
      }
    } catch (MalformedMessageException e) {
      // a record that cannot be decoded does not belong to a snapshot
    }
    return Optional.empty();
  }
}
