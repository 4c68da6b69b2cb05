package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Optional;
import org.lavenderstage.wire.peer.PeerMessage;

/**
 * Writes and reads messages between entries. A frame is a length of four bytes, then MessagePack.
 */
public final class PeerCodec {
  /** Maximum length of a frame in bytes, without the length field. */
  public static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

  private static final ObjectMapper MAPPER = TaggedMapper.of(PeerMessage.class);

  private PeerCodec() {}

  /**
   * Writes a frame and flushes the stream.
   *
   * @param out stream to write to
   * @param message message to write
   * @throws IOException if the stream cannot be written
   */
  public static void write(DataOutputStream out, PeerMessage message) throws IOException {
    byte[] bytes = encode(message);
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  private static byte[] encode(PeerMessage message) {
    try {
      return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("message cannot be encoded: " + message.getClass(), e);
    }
  }

  /**
   * Reads a frame.
   *
   * @param in stream to read from
   * @return the message, empty if this version does not know its kind
   * @throws IOException if the stream ends or does not contain a valid frame
   */
  public static Optional<PeerMessage> read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new IOException(
          "invalid frame length: " + length + " bytes, at most " + MAX_FRAME_BYTES);
    }
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("frame truncated: got " + bytes.length + " of " + length + " bytes");
    }
    return decode(bytes);
  }

  /**
   * Returns about how many bytes of the heap the content of a frame takes once it is decoded.
   *
   * @param content the frame without its length
   * @return the number of bytes
   * @throws IOException if the content is not valid; it must not be decoded then
   */
  public static long decodedBytes(byte[] content) throws IOException {
    return ContentMeter.decodedBytes(new ByteArrayInputStream(content), content.length);
  }

  /**
   * Decodes the content of a frame.
   *
   * @param content the frame without its length
   * @return the message, empty if this version does not know its kind
   * @throws IOException if the content is not valid
   */
  public static Optional<PeerMessage> decode(byte[] content) throws IOException {
    return Optional.ofNullable(MAPPER.readValue(content, PeerMessage.class));
  }
}
