package org.lavenderstage.core.ledger;

import java.util.Map;
import java.util.TreeMap;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;

/**
 * Applies the batches of one stream to its fold. A batch whose number is not above the last one of
 * its writer is a second copy and is passed over, which makes an append safe to repeat after a lost
 * answer.
 *
 * @param <F> type of the fold
 */
public final class LedgerStream<F extends Fold> {
  private final F fold;
  private final Map<String, Long> lastSequences = new TreeMap<>();
  private long nextOffset;
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
    if (batch.sequence() <= lastSequences.getOrDefault(batch.writer(), 0L)) {
      duplicateBatches++;
      return;
    }
    lastSequences.put(batch.writer(), batch.sequence());
    unknownRecords += batch.unknownRecords();
    for (LedgerRecord record : batch.records()) {
      boolean effective = fold.apply(at, record);
      if (!effective) {
        invalidRecords++;
      }
      observer.judged(at, record, effective);
    }
  }

  /**
   * Returns the number of the last batch of a writer that was read.
   *
   * @param writer incarnation of the process that appends
   * @return the number, 0 for none
   */
  public long lastSequence(String writer) {
    return lastSequences.getOrDefault(writer, 0L);
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
