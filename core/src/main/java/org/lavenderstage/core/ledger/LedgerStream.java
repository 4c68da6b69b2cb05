package org.lavenderstage.core.ledger;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SnapshotCommitted;
import org.lavenderstage.core.record.SnapshotPart;

/**
 * Applies the batches of one stream to its state machine. A batch whose sequence number is not
 * above the last one of its writer is a duplicate and is skipped, which makes it safe to repeat an
 * append whose response was lost.
 *
 * @param <F> type of the state machine
 */
public final class LedgerStream<F extends StateMachine> {
  /**
   * Time without a batch after which a writer's sequence number is removed, in milliseconds of
   * append time.
   */
  private static final long WRITER_RETENTION_MILLIS = 24L * 3600 * 1000;

  private final F stateMachine;
  private final Map<String, WriterMark> writers = new TreeMap<>();
  private long nextOffset;
  private long lastSnapshotOffset = -1;
  private long lastSnapshotTimeMillis;
  private long lastAppendTimeMillis;
  private long duplicateBatches;
  private long unknownRecords;
  private long invalidRecords;

  /**
   * Creates a stream before its first record.
   *
   * @param stateMachine the state machine without any record
   */
  public LedgerStream(F stateMachine) {
    this.stateMachine = stateMachine;
  }

  /**
   * Applies one batch.
   *
   * @param at offset and append time of the batch
   * @param batch the batch
   * @param observer called for each record after it was applied
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
    recordWriter(at, batch);
    unknownRecords += batch.unknownRecords();
    for (LedgerRecord record : batch.records()) {
      boolean effective = applyRecord(at, record);
      if (!effective) {
        invalidRecords++;
      }
      observer.onRecordApplied(at, record, effective);
    }
  }

  private boolean applyRecord(RecordPosition at, LedgerRecord record) {
    return switch (record) {
      case SnapshotPart part -> true;
      case SnapshotCommitted committed -> {
        lastSnapshotOffset = committed.coveredOffset();
        lastSnapshotTimeMillis = at.appendTimeMillis();
        yield true;
      }
      default -> stateMachine.apply(at, record);
    };
  }

  private void recordWriter(RecordPosition at, RecordBatch batch) {
    WriterMark mark = new WriterMark(batch.writer(), batch.sequence(), at.appendTimeMillis());
    if (writers.put(batch.writer(), mark) == null) {
      long oldest = at.appendTimeMillis() - WRITER_RETENTION_MILLIS;
      writers.values().removeIf(known -> known.appendTimeMillis() < oldest);
    }
  }

  /**
   * Returns a copy of the state after the last record.
   *
   * @return the state
   */
  public StreamState snapshot() {
    return new StreamState(
        nextOffset, lastAppendTimeMillis, List.copyOf(writers.values()), stateMachine.snapshot());
  }

  /**
   * Replaces the state.
   *
   * @param state a state of the same stream
   */
  public void restore(StreamState state) {
    stateMachine.restore(state.fold());
    nextOffset = state.nextOffset();
    lastAppendTimeMillis = state.lastAppendTimeMillis();
    lastSnapshotOffset = state.nextOffset() - 1;
    lastSnapshotTimeMillis = state.lastAppendTimeMillis();
    writers.clear();
    state.writers().forEach(mark -> writers.put(mark.writer(), mark));
  }

  /**
   * Returns the sequence number of a writer's last applied batch.
   *
   * @param writer incarnation of the writing process
   * @return the sequence number, 0 for none
   */
  public long lastSequence(String writer) {
    WriterMark mark = writers.get(writer);
    return mark == null ? 0 : mark.sequence();
  }

  /**
   * Returns the state machine.
   *
   * @return the state machine
   */
  public F stateMachine() {
    return stateMachine;
  }

  /**
   * Returns the offset of the next batch to apply.
   *
   * @return the offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the append time of the last batch that was read.
   *
   * @return milliseconds since 1970, 0 for none
   */
  public long lastAppendTimeMillis() {
    return lastAppendTimeMillis;
  }

  /**
   * Returns the last offset that the newest snapshot in the stream covers.
   *
   * @return the offset, -1 where no snapshot was read
   */
  public long lastSnapshotOffset() {
    return lastSnapshotOffset;
  }

  /**
   * Returns the append time of the newest snapshot in the stream, or of the first batch that was
   * read where there is no snapshot.
   *
   * @return milliseconds since 1970, 0 where nothing was read
   */
  public long lastSnapshotTimeMillis() {
    return lastSnapshotTimeMillis;
  }

  /**
   * Returns the number of duplicate batches that were skipped.
   *
   * @return the number
   */
  public long duplicateBatches() {
    return duplicateBatches;
  }

  /**
   * Returns the number of records of a kind that this version does not know.
   *
   * @return the number
   */
  public long unknownRecords() {
    return unknownRecords;
  }

  /**
   * Returns the number of records that were invalid at their offset.
   *
   * @return the number
   */
  public long invalidRecords() {
    return invalidRecords;
  }
}
