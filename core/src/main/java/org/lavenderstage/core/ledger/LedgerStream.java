package org.lavenderstage.core.ledger;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SnapshotCommitted;
import org.lavenderstage.core.record.SnapshotPart;

/**
 * Applies the batches of one stream to its fold. A batch whose number is not above the last one of
 * its writer is a second copy and is passed over, which makes an append safe to repeat after a lost
 * answer.
 *
 * @param <F> type of the fold
 */
public final class LedgerStream<F extends Fold> {
  /** Time without a batch after which a writer is forgotten, in milliseconds of append time. */
  private static final long WRITER_RETENTION_MILLIS = 24L * 3600 * 1000;

  private final F fold;
  private final Map<String, WriterMark> writers = new TreeMap<>();
  private long nextOffset;
  private long lastSnapshotOffset = -1;
  private long lastSnapshotTimeMillis;
  private long lastAppendTimeMillis;
  private long duplicateBatches;
  private long unknownRecords;
  private long invalidRecords;

  /**
   * Starts before the first record.
   *
   * @param fold the empty state
   */
  public LedgerStream(F fold) {
    this.fold = fold;
  }

  /**
   * Applies one batch.
   *
   * @param at place and time of the append
   * @param batch the batch
   * @param observer is told of each record
   */
  public void apply(RecordPosition at, RecordBatch batch, RecordObserver observer) {
    if (at.offset() < nextOffset) {
      return;
    }
    nextOffset = at.offset() + 1;
    lastAppendTimeMillis = at.appendTimeMillis();
    if (lastSnapshotTimeMillis == 0) {
      lastSnapshotTimeMillis = at.appendTimeMillis();
    }
    if (batch.sequence() <= lastSequence(batch.writer())) {
      duplicateBatches++;
      return;
    }
    mark(at, batch);
    unknownRecords += batch.unknownRecords();
    for (LedgerRecord record : batch.records()) {
      boolean effective = judge(at, record);
      if (!effective) {
        invalidRecords++;
      }
      observer.judged(at, record, effective);
    }
  }

  private boolean judge(RecordPosition at, LedgerRecord record) {
    return switch (record) {
      case SnapshotPart part -> true;
      case SnapshotCommitted committed -> {
        lastSnapshotOffset = committed.coveredOffset();
        lastSnapshotTimeMillis = at.appendTimeMillis();
        yield true;
      }
      default -> fold.apply(at, record);
    };
  }

  private void mark(RecordPosition at, RecordBatch batch) {
    WriterMark mark = new WriterMark(batch.writer(), batch.sequence(), at.appendTimeMillis());
    if (writers.put(batch.writer(), mark) == null) {
      long oldest = at.appendTimeMillis() - WRITER_RETENTION_MILLIS;
      writers.values().removeIf(known -> known.appendTimeMillis() < oldest);
    }
  }

  /**
   * Copies the state after the last record.
   *
   * @return the state
   */
  public StreamState snapshot() {
    return new StreamState(
        nextOffset, lastAppendTimeMillis, List.copyOf(writers.values()), fold.snapshot());
  }

  /**
   * Replaces the state.
   *
   * @param state a state of the same stream
   */
  public void restore(StreamState state) {
    fold.restore(state.fold());
    nextOffset = state.nextOffset();
    lastAppendTimeMillis = state.lastAppendTimeMillis();
    lastSnapshotOffset = state.nextOffset() - 1;
    lastSnapshotTimeMillis = state.lastAppendTimeMillis();
    writers.clear();
    state.writers().forEach(mark -> writers.put(mark.writer(), mark));
  }

  /**
   * Returns the number of the last batch of a writer that was read.
   *
   * @param writer incarnation of the process that appends
   * @return the number, 0 for none
   */
  public long lastSequence(String writer) {
    WriterMark mark = writers.get(writer);
    return mark == null ? 0 : mark.sequence();
  }

  /**
   * Returns the state.
   *
   * @return the fold
   */
  public F fold() {
    return fold;
  }

  /**
   * Returns the offset of the first record that was not applied yet.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the append time of the last record that was applied.
   *
   * @return milliseconds since 1970, 0 for none
   */
  public long lastAppendTimeMillis() {
    return lastAppendTimeMillis;
  }

  /**
   * Returns the last offset that the newest snapshot in the stream covers.
   *
   * @return the offset, -1 where none was read
   */
  public long lastSnapshotOffset() {
    return lastSnapshotOffset;
  }

  /**
   * Returns the append time of the newest snapshot in the stream, or of the first record that was
   * read where there is no snapshot.
   *
   * @return milliseconds since 1970, 0 where nothing was read
   */
  public long lastSnapshotTimeMillis() {
    return lastSnapshotTimeMillis;
  }

  /**
   * Counts batches that were read a second time.
   *
   * @return the count
   */
  public long duplicateBatches() {
    return duplicateBatches;
  }

  /**
   * Counts records of a kind that this version does not know.
   *
   * @return the count
   */
  public long unknownRecords() {
    return unknownRecords;
  }

  /**
   * Counts records that were not valid at their place in the order.
   *
   * @return the count
   */
  public long invalidRecords() {
    return invalidRecords;
  }
}
