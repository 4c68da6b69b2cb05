package org.lavenderstage.clients;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Record of a keyed topic.
 *
 * @param key key of the record
 * @param value value of the record, empty if the record removes the key
 */
public record KeyedRecord(String key, Optional<byte[]> value) {
  /** Length of the fields that precede the key: the record's own length and that of the key. */
  private static final int HEADER_BYTES = 5;

  /**
   * Returns the length of the record in the log.
   *
   * @return number of bytes
   */
  public int storedBytes() {
    return HEADER_BYTES
        + key.getBytes(StandardCharsets.UTF_8).length
        + value.map(bytes -> bytes.length).orElse(0);
  }
}
