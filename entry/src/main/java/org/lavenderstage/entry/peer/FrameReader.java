package org.lavenderstage.entry.peer;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.http.ByteBuilder;
import org.lavenderstage.http.ClientBudget;
import org.lavenderstage.wire.codec.PeerCodec;

/**
 * Reads the frames of a connection. What has arrived of a frame is charged to the account of the
 * connection. A frame that has begun, and the reply to one, must be whole before a deadline.
 */
final class FrameReader implements AutoCloseable {
  /** Longest frame in bytes; a job's record takes up to 262,144, and is the longest content. */
  private static final int MAX_FRAME_BYTES = 4 * 1_024 * 1_024;

  private static final int LENGTH_BYTES = 4;
  private static final int PIECE_BYTES = 16_384;

  /** Time for a frame or reply from its first byte on, and for the first frame of a connection. */
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** What a frame takes beside its content, in bytes. */
  private static final long FRAME_OVERHEAD_BYTES = 512L;

  private final Socket connection;
  private final ClientBudget.Account account;
  private InputStream input;
  private volatile boolean pending = true;
  private volatile long startNanos = System.nanoTime();

  /**
   * A whole frame, admitted to the account.
   *
   * @param content the content
   * @param heldBytes number of bytes to be released
   */
  record Frame(byte[] content, long heldBytes) {}

  FrameReader(Socket connection, ClientBudget.Account account) {
    this.connection = connection;
    this.account = account;
  }

  /** Prepares the connection for the first frame. */
  void open() throws IOException {
    connection.setTcpNoDelay(true);
    input = new BufferedInputStream(connection.getInputStream());
  }

  /** Waits for a frame. A peer may be idle for any time between two frames. */
  Frame read() throws IOException {
    int first = input.read();
    if (first < 0) {
      throw new EOFException();
    }
    if (!pending) {
      startNanos = System.nanoTime();
      pending = true;
    }
    byte[] length = {(byte) first, 0, 0, 0};
    readFully(length, 1, LENGTH_BYTES - 1);
    int frameBytes = ByteBuffer.wrap(length).getInt();
    if (frameBytes < 0 || frameBytes > MAX_FRAME_BYTES) {
      throw new IOException(
          "invalid frame length: " + frameBytes + " bytes, at most " + MAX_FRAME_BYTES);
    }
    byte[] content = readContent(frameBytes);
    long heldBytes = FRAME_OVERHEAD_BYTES + content.length + PeerCodec.decodedBytes(content);
    if (!account.admit(heldBytes, 0)) {
      throw new IOException("no room for a frame of " + frameBytes + " bytes");
    }
    pending = false;
    return new Frame(content, heldBytes);
  }

  /** Tells that the reply is being written, which must be done within the time for a frame. */
  void startReply() {
    startNanos = System.nanoTime();
    pending = true;
  }

  /** Tells that the reply is written. */
  void endReply() {
    pending = false;
  }

  /** Returns whether a frame or reply has not become whole in time; called by any thread. */
  boolean isOverdue() {
    return pending && System.nanoTime() - startNanos > TIMEOUT_NANOS;
  }

  private byte[] readContent(int frameBytes) throws IOException {
    ByteBuilder content = new ByteBuilder(frameBytes);
    while (content.length() < frameBytes) {
      int piece = Math.min(PIECE_BYTES, frameBytes - content.length());
      content.grow(piece);
      if (!account.hold(FRAME_OVERHEAD_BYTES + content.capacity())) {
        throw new IOException("no room for a frame of " + frameBytes + " bytes");
      }
      readFully(content.array(), content.length(), piece);
      content.advance(piece);
    }
    return content.toByteArray();
  }

  private void readFully(byte[] bytes, int start, int count) throws IOException {
    int read = input.readNBytes(bytes, start, count);
    if (read < count) {
      throw new EOFException("frame truncated: got " + read + " of " + count + " bytes");
    }
  }

  @Override
  public void close() {
    try {
      connection.close();
    } catch (IOException e) {
      // the socket is discarded anyway
    }
  }
}
