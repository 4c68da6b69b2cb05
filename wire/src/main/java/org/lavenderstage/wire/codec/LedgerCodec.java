package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;

/** Encodes and decodes the record batches of the platform's log as MessagePack. */
public final class LedgerCodec {
  private static final ObjectMapper MAPPER = TaggedMapper.of(LedgerRecord.class);

  private LedgerCodec() {}

  /**
   * Encodes a batch.
   *
   * @param batch batch to encode
   * @return the encoded batch
   */
  public static byte[] encode(RecordBatch batch) {
    try {
      return MAPPER.writeValueAsBytes(
          new Encoded(batch.writer(), batch.sequence(), batch.records()));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("batch cannot be encoded", e);
    }
  }

  /**
   * Decodes a batch. Records of an unknown kind are omitted and counted.
   *
   * @param bytes encoded batch
   * @return the batch
   * @throws MalformedMessageException if the bytes are not a batch
   */
  public static RecordBatch decode(byte[] bytes) throws MalformedMessageException {
    try {
      Encoded encoded = MAPPER.readValue(bytes, Encoded.class);
      List<LedgerRecord> known = encoded.records().stream().filter(Objects::nonNull).toList();
      int unknown = encoded.records().size() - known.size();
      return new RecordBatch(encoded.writer(), encoded.sequence(), known, unknown);
    } catch (IOException | NullPointerException e) {
      throw new MalformedMessageException("expected a batch of records", e);
    }
  }

  /** Encoded form of a batch in the log. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  private record Encoded(String writer, long sequence, List<LedgerRecord> records) {}
}
