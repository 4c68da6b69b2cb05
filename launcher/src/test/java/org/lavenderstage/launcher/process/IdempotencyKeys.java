package org.lavenderstage.launcher.process;

import java.util.UUID;

/** Creates idempotency keys for tests. */
final class IdempotencyKeys {
  private static final int TIME_SHIFT = 16;
  private static final long VERSION = 0x7000;

  private IdempotencyKeys() {}

  /** Creates a UUIDv7 with the current time. */
  static String create() {
    UUID random = UUID.randomUUID();
    long high =
        (System.currentTimeMillis() << TIME_SHIFT)
            | VERSION
            | (random.getMostSignificantBits() & 0xfff);
    return new UUID(high, random.getLeastSignificantBits()).toString();
  }
}
