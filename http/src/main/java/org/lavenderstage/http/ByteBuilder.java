package org.lavenderstage.http;

import java.util.Arrays;

/** A byte array that grows with what arrives, whatever its sender has announced. */
public final class ByteBuilder {
  private static final int INITIAL_BYTES = 512;
  private static final byte[] NO_BYTES = new byte[0];

  private final int maxBytes;
  private byte[] bytes = NO_BYTES;
  private int length;

  /**
   * Creates an empty builder.
   *
   * @param maxBytes number of bytes at most, as announced or allowed
   */
  public ByteBuilder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Makes room for more bytes, which the caller writes into {@link #array} from {@link #length} on.
   *
   * @param count the number of bytes
   * @return whether they are within the maximum
   */
  public boolean grow(int count) {
    if (count > maxBytes - length) {
      return false;
    }
    if (length + count > bytes.length) {
      long doubled = Math.max(INITIAL_BYTES, 2L * bytes.length);
      bytes = Arrays.copyOf(bytes, (int) Math.min(maxBytes, Math.max(doubled, length + count)));
    }
    return true;
  }

  /**
   * Records that bytes were written into the array.
   *
   * @param count the number of bytes
   */
  public void advance(int count) {
    length += count;
  }

  /** Returns the array that holds the bytes; the next growth replaces it. */
  public byte[] array() {
    return bytes;
  }

  /** Returns the number of bytes written. */
  public int length() {
    return length;
  }

  /** Returns the number of bytes that the array takes. */
  public int capacity() {
    return bytes.length;
  }

  /** Returns the bytes written, not copied if they fill the array. */
  public byte[] toByteArray() {
    return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
  }
}
