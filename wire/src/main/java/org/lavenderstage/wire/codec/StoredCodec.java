package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.lavenderstage.core.job.StoredRecord;

/** Encodes and decodes the records that entries keep in the platform's store as MessagePack. */
public final class StoredCodec {
  private static final ObjectMapper MAPPER = TaggedMapper.of(StoredRecord.class);

  private StoredCodec() {}

  /**
   * Encodes a record.
   *
   * @param record record to encode
   * @return the encoded record
   */
  public static byte[] encode(StoredRecord record) {
    try {
      return MAPPER.writerFor(StoredRecord.class).writeValueAsBytes(record);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("record cannot be encoded: " + record.getClass(), e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param bytes encoded record
   * @return the record, empty if this version does not know its kind
   * @throws MalformedMessageException if the bytes are not a stored record
   */
  public static Optional<StoredRecord> decode(byte[] bytes) throws MalformedMessageException {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, StoredRecord.class));
    } catch (IOException e) {
      throw new MalformedMessageException("expected a stored record", e);
    }
  }
}
