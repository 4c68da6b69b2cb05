package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.lavenderstage.core.job.StoredRecord;

/**
 * Encodes and decodes the records that entries keep in the platform's store as MessagePack. Records
 * that are longer than the store may accept are compressed; a job of many steps mostly repeats the
 * names of their fields.
 */
public final class StoredCodec {
  private static final ObjectMapper MAPPER = TaggedMapper.of(StoredRecord.class);

  /**
   * Length from which on a record is compressed, in bytes; below the longest record of the
   * platform's store. Versions that do not know compressed records could not store these.
   */
  private static final int MIN_COMPRESSED_BYTES = 200 * 1_024;

  /** First byte of a compressed record; the only one that no MessagePack value begins with. */
  private static final byte COMPRESSED = (byte) 0xc1;

  /** Longest content of a compressed record that is decoded, in bytes. */
  private static final int MAX_CONTENT_BYTES = 64 * 1_024 * 1_024;

  /**
   * Longest content of a record that another entry forwards, in bytes. A submission of 262,144
   * bytes has up to 20,000 steps, and the names of a step's fields take some 210 bytes.
   */
  private static final int MAX_FORWARDED_BYTES = 8 * 1_024 * 1_024;

  private StoredCodec() {}

  /**
   * Encodes a record.
   *
   * @param record record to encode
   * @return the encoded record
   */
  public static byte[] encode(StoredRecord record) {
    try {
      byte[] encoded = MAPPER.writerFor(StoredRecord.class).writeValueAsBytes(record);
      return encoded.length < MIN_COMPRESSED_BYTES ? encoded : compress(encoded);
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
      byte[] encoded = bytes.length > 0 && bytes[0] == COMPRESSED ? decompress(bytes) : bytes;
      return Optional.ofNullable(MAPPER.readValue(encoded, StoredRecord.class));
    } catch (IOException e) {
      throw new MalformedMessageException("expected a stored record", e);
    }
  }

  /**
   * Returns about how many bytes of the heap a forwarded record takes while it is decoded and
   * afterwards. Holds nothing of it meanwhile.
   *
   * @param bytes encoded record
   * @return the number of bytes
   * @throws MalformedMessageException if the bytes are not a stored record, or are longer than any
   *     that an entry forwards
   */
  public static long decodedBytes(byte[] bytes) throws MalformedMessageException {
    try (InputStream in = open(bytes)) {
      return ContentMeter.decodedBytes(in, MAX_FORWARDED_BYTES);
    } catch (IOException e) {
      throw new MalformedMessageException("expected a stored record", e);
    }
  }

  /**
   * Decodes a record that another entry forwards, of which {@link #decodedBytes} was found to be
   * held. Its content is not held as a whole.
   *
   * @param bytes encoded record
   * @return the record, empty if this version does not know its kind
   * @throws MalformedMessageException if the bytes are not a stored record
   */
  public static Optional<StoredRecord> decodeForwarded(byte[] bytes)
      throws MalformedMessageException {
    try (InputStream in = open(bytes)) {
      return Optional.ofNullable(MAPPER.readValue(in, StoredRecord.class));
    } catch (IOException e) {
      throw new MalformedMessageException("expected a stored record", e);
    }
  }

  private static InputStream open(byte[] bytes) {
    return bytes.length > 0 && bytes[0] == COMPRESSED
        ? new BufferedInputStream(
            new InflaterInputStream(new ByteArrayInputStream(bytes, 1, bytes.length - 1)))
        : new ByteArrayInputStream(bytes);
  }

  private static byte[] compress(byte[] encoded) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(COMPRESSED);
    try (DeflaterOutputStream out = new DeflaterOutputStream(bytes)) {
      out.write(encoded);
    } catch (IOException e) {
      throw new IllegalStateException("a byte array cannot be written", e);
    }
    return bytes.toByteArray();
  }

  private static byte[] decompress(byte[] bytes) throws IOException {
    try (InflaterInputStream in =
        new InflaterInputStream(new ByteArrayInputStream(bytes, 1, bytes.length - 1))) {
      byte[] encoded = in.readNBytes(MAX_CONTENT_BYTES);
      if (in.read() >= 0) {
        throw new IOException("record longer than " + MAX_CONTENT_BYTES + " bytes");
      }
      return encoded;
    }
  }
}
