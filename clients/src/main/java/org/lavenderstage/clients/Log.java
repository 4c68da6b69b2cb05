package org.lavenderstage.clients;

import java.time.Duration;
import org.lavenderstage.wire.platform.LogPage;

/**
 * The platform's append-only log. Calls block, at most for the timeout of the client and the wait
 * that a read asks for.
 */
public interface Log {
  /**
   * Appends one record.
   *
   * @param stream name of the stream; the first append creates it
   * @param bytes content of the record
   * @return offset of the record
   * @throws PlatformUnavailableException if no valid response arrived; the append may have taken
   *     effect
   */
  long append(String stream, byte[] bytes) throws PlatformUnavailableException;

  /**
   * Reads records in the order of their offsets.
   *
   * @param stream name of the stream
   * @param fromOffset first offset to read
   * @param max maximum number of records
   * @param wait maximum time for which the log waits for a first record
   * @return records that are still kept, empty if none arrived in time
   * @throws PlatformUnavailableException if no valid response arrived
   */
  LogPage read(String stream, long fromOffset, int max, Duration wait)
      throws PlatformUnavailableException;
}
