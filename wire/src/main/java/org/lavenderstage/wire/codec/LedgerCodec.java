package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;

/** Writes and reads the batches of the platform's log as MessagePack. */
public final class LedgerCodec {
  private static final ObjectMapper MAPPER = TaggedMapper.of(LedgerRecord.class);

  private LedgerCodec() {}

  /**
   * Writes a batch.
   *
   * @param batch the batch
   * @return its bytes
   */
  public static byte[] encode(RecordBatch batch) {
    try {
      return MAPPER.writeValueAsBytes(
          new Encoded(batch.writer(), batch.sequence(), batch.records()));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no batch of schema records", e);
    }
  }

  /**
   * Reads a batch; records of an unknown kind are left out and counted.
   *
   * @param bytes the bytes
   * @return the batch
   * @throws MalformedMessageException where the bytes are no batch
   */
  public static RecordBatch decode(byte[] bytes) throws MalformedMessageException {
    try {
      Encoded encoded = MAPPER.readValue(bytes, Encoded.class);
      List<LedgerRecord> known = encoded.records().stream().filter(Objects::nonNull).toList();
      int unknown = encoded.records().size() - known.size();
      return new RecordBatch(encoded.writer(), encoded.sequence(), known, unknown);
    } catch (IOException | NullPointerException e) {
      throw new MalformedMessageException("no batch of records", e);
    }
  }

  /** A batch as it stands in the log. */
  @JsonIgnoreProperties(ignoreUnknown = true)
  private record Encoded(String writer, long sequence, List<LedgerRecord> records) {}
}
