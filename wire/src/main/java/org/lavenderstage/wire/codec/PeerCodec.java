package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Optional;
import org.lavenderstage.wire.peer.PeerMessage;

/** Writes and reads the messages between entries: a length of four bytes, then MessagePack. */
public final class PeerCodec {
  /** Largest frame in bytes. */
  public static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

  private static final ObjectMapper MAPPER = TaggedMapper.of(PeerMessage.class);

  private PeerCodec() {}

  /**
   * Writes one frame.
   *
   * @param out the stream; flushed
   * @param message the message
   * @throws IOException where the stream fails
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
      throw new IllegalArgumentException("no schema message: " + message.getClass(), e);
    }
  }

  /**
   * Reads one frame.
   *
   * @param in the stream
   * @return the message, empty for a kind that this version does not know
   * @throws IOException where the stream ends or holds no frame
   */
  public static Optional<PeerMessage> read(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new IOException("frame of " + length + " bytes");
    }
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("frame cut after " + bytes.length + " bytes");
    }
    return Optional.ofNullable(MAPPER.readValue(bytes, PeerMessage.class));
  }
}
