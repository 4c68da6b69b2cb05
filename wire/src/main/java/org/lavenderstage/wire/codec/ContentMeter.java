package org.lavenderstage.wire.codec;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/**
 * Estimates what a MessagePack value takes of the heap once it is decoded, without holding any of
 * it. It also checks that each string or binary value is as long as announced, since the decoder
 * reserves the announced length at once.
 */
final class ContentMeter {
  /** What a value takes in a list or as a field, in bytes. */
  private static final int VALUE_BYTES = 8;

  /** What the object takes that a map is decoded to, in bytes. */
  private static final int MAP_BYTES = 128;

  /** What a list takes beside its elements, in bytes. */
  private static final int ARRAY_BYTES = 64;

  private final InputStream in;
  private final long maxBytes;
  private long readBytes;
  private long decodedBytes;
  private long pendingValues = 1;

  private ContentMeter(InputStream in, long maxBytes) {
    this.in = in;
    this.maxBytes = maxBytes;
  }

  /**
   * Reads one value.
   *
   * @param in stream of the value; it is not closed
   * @param maxBytes largest number of bytes that the value may take of the stream
   * @return about the number of bytes that the decoded value takes
   * @throws IOException if the value is too long, ends early or is not MessagePack
   */
  static long decodedBytes(InputStream in, long maxBytes) throws IOException {
    ContentMeter meter = new ContentMeter(in, maxBytes);
    while (meter.pendingValues > 0) {
      meter.pendingValues--;
      meter.decodedBytes += VALUE_BYTES;
      meter.readValue();
    }
    return meter.decodedBytes;
  }

  private void readValue() throws IOException {
    int type = readByte();
    switch (type) {
      case 0xc1 -> throw new IOException("expected a MessagePack value, found 0xc1");
      case 0xc4, 0xd9 -> skipContent(readUnsigned(1));
      case 0xc5, 0xda -> skipContent(readUnsigned(2));
      case 0xc6, 0xdb -> skipContent(readUnsigned(4));
      case 0xc7 -> skipContent(readUnsigned(1) + 1);
      case 0xc8 -> skipContent(readUnsigned(2) + 1);
      case 0xc9 -> skipContent(readUnsigned(4) + 1);
      case 0xcc, 0xd0 -> skip(1);
      case 0xcd, 0xd1 -> skip(2);
      case 0xca, 0xce, 0xd2 -> skip(4);
      case 0xcb, 0xcf, 0xd3 -> skip(8);
      case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8 -> skipContent((1 << (type - 0xd4)) + 1);
      case 0xdc -> addArray(readUnsigned(2));
      case 0xdd -> addArray(readUnsigned(4));
      case 0xde -> addMap(readUnsigned(2));
      case 0xdf -> addMap(readUnsigned(4));
      default -> readShortValue(type);
    }
  }

  /** Reads a value whose first byte holds its length, or that has only this byte. */
  private void readShortValue(int type) throws IOException {
    if (type >= 0x80 && type < 0x90) {
      addMap(type & 0x0f);
    } else if (type >= 0x90 && type < 0xa0) {
      addArray(type & 0x0f);
    } else if (type >= 0xa0 && type < 0xc0) {
      skipContent(type & 0x1f);
    }
  }

  private void addMap(long entries) {
    decodedBytes += MAP_BYTES;
    pendingValues += 2 * entries;
  }

  private void addArray(long elements) {
    decodedBytes += ARRAY_BYTES;
    pendingValues += elements;
  }

  private void skipContent(long bytes) throws IOException {
    skip(bytes);
    decodedBytes += bytes;
  }

  private void skip(long bytes) throws IOException {
    count(bytes);
    in.skipNBytes(bytes);
  }

  private long readUnsigned(int bytes) throws IOException {
    long value = 0;
    for (int i = 0; i < bytes; i++) {
      value = value << 8 | readByte();
    }
    return value;
  }

  private int readByte() throws IOException {
    count(1);
    int value = in.read();
    if (value < 0) {
      throw new EOFException("expected a MessagePack value, found the end");
    }
    return value;
  }

  private void count(long bytes) throws IOException {
    readBytes += bytes;
    if (readBytes > maxBytes) {
      throw new IOException("expected at most " + maxBytes + " bytes, found " + readBytes);
    }
  }
}
