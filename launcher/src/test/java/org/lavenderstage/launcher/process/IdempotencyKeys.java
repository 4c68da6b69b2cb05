package org.lavenderstage.launcher.process;

import java.util.UUID;

/** Idempotency keys for tests. */
final class Keys {
  private static final int TIME_SHIFT = 16;
  private static final long VERSION = 0x7000;

  private Keys() {}

  /** Makes a UUIDv7 of the present time. */
  static String now() {
    UUID random = UUID.randomUUID();
    long high =
        (System.currentTimeMillis() << TIME_SHIFT)
            | VERSION
            | (random.getMostSignificantBits() & 0xfff);
    return new UUID(high, random.getLeastSignificantBits()).toString();
  }
}
