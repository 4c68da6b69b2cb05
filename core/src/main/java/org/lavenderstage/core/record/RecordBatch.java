package org.lavenderstage.core.record;

import java.util.List;

/**
 * The records of one append. A writer numbers its batches, so that a batch that was appended twice
 * takes effect only once.
 *
 * @param writer incarnation of the writing process
 * @param sequence sequence number of the batch, larger than that of the writer's previous batch on
 *     the stream
 * @param records the records, in order
 * @param unknownRecords number of records that this version cannot decode; not encoded
 */
public record RecordBatch(
    String writer, long sequence, List<LedgerRecord> records, int unknownRecords) {
  /** Copies the records. */
  public RecordBatch {
    records = List.copyOf(records);
  }

  /**
   * Creates a batch whose records are all known.
   *
   * @param writer incarnation of the writing process
   * @param sequence sequence number of the batch
   * @param records the records, in order
   * @return the batch
   */
  public static RecordBatch of(String writer, long sequence, List<LedgerRecord> records) {
    return new RecordBatch(writer, sequence, records, 0);
  }
}
