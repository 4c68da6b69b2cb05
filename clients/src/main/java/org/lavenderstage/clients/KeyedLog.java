package org.lavenderstage.clients;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Log of keyed records that keeps the newest record of each key permanently and older records for a
 * limited time. The returned futures never complete exceptionally: failures are results.
 */
public interface KeyedLog {
  /**
   * Appends records atomically: all or none are stored.
   *
   * @param topic topic of the records
   * @param at offset at which the topic must end for the append to succeed, empty for any
   * @param records records to append
   * @return future of the result
   */
  CompletableFuture<Append> append(LogTopic topic, OptionalLong at, List<KeyedRecord> records);

  /**
   * Returns how many bytes of keys and values one append may contain.
   *
   * @return number of bytes
   */
  default int maxAppendBytes() {
    return Integer.MAX_VALUE;
  }

  /**
   * Reads records in the order of their offsets.
   *
   * @param topic topic of the records
   * @param from first offset to read
   * @param waitMillis maximum time to wait for a record, in milliseconds
   * @return future of the result
   */
  CompletableFuture<Read> read(LogTopic topic, long from, int waitMillis);

  /**
   * Reads a page of the newest records of the keys. The pages together are not a consistent
   * snapshot.
   *
   * @param topic topic of the records
   * @param after last key of the previous page, empty for the first page
   * @return future of the result
   */
  CompletableFuture<Newest> newest(LogTopic topic, Optional<String> after);

  /** Result of an append. */
  sealed interface Append {
    /**
     * The records are stored.
     *
     * @param offset offset of the first record
     * @param end offset after the last record
     */
    record Stored(long offset, long end) implements Append {}

    /**
     * Nothing was stored because the topic ends at another offset.
     *
     * @param end offset at which the topic ends
     */
    record EndMoved(long end) implements Append {}

    /**
     * The store rejected the append; nothing was stored.
     *
     * @param cause reason of the rejection
     */
    record Refused(String cause) implements Append {}

    /**
     * The outcome is unknown: the records may be stored now or later.
     *
     * @param cause description of the failure
     */
    record Unanswered(String cause) implements Append {}
  }

  /** Result of a read. */
  sealed interface Read {
    /**
     * Records starting at the requested offset.
     *
     * @param from offset of the first record
     * @param end offset at which the topic ends
     * @param records records in order, possibly none
     */
    record Records(long from, long end, List<KeyedRecord> records) implements Read {}

    /**
     * The records at the offset are no longer kept.
     *
     * @param first first offset that is still kept
     */
    record Expired(long first) implements Read {}

    /**
     * The read failed.
     *
     * @param cause description of the failure
     */
    record Failed(String cause) implements Read {}
  }

  /** Result of a read of the newest records. */
  sealed interface Newest {
    /**
     * A page of records.
     *
     * @param records newest records of the keys of this page
     * @param end offset at which the topic ends
     * @param more whether another page follows
     */
    record Page(List<KeyedRecord> records, long end, boolean more) implements Newest {}

    /**
     * The read failed.
     *
     * @param cause description of the failure
     */
    record Failed(String cause) implements Newest {}
  }
}
