package org.lavenderstage.core.ledger.claim;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Reads the time that a UUIDv7 key carries (RFC 9562). A key whose time lies outside the window of
 * kept claims is refused, so that at-most-once outlives the log's retention.
 */
public final class KeyTime {
  private static final int VERSION = 7;
  private static final int VARIANT = 2;
  private static final int TIME_SHIFT = 16;

  private KeyTime() {}

  /**
   * Brings a caller's key into the one form that names it in the log.
   *
   * @param key the key as the caller wrote it
   * @return the key in lower case, empty where it is no UUIDv7
   */
  public static Optional<String> canonical(String key) {
    String lower = key.toLowerCase(Locale.ROOT);
    return millis(lower).isPresent() ? Optional.of(lower) : Optional.empty();
  }

  /**
   * Reads a key's time.
   *
   * @param key the key in its canonical form
   * @return milliseconds since 1970, empty where the key is no UUIDv7 or not canonical
   */
  public static OptionalLong millis(String key) {
    Optional<UUID> uuid = parse(key);
    if (uuid.isEmpty() || uuid.get().version() != VERSION || uuid.get().variant() != VARIANT) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(uuid.get().getMostSignificantBits() >>> TIME_SHIFT);
  }

  private static Optional<UUID> parse(String key) {
    try {
      UUID uuid = UUID.fromString(key);
      return uuid.toString().equals(key) ? Optional.of(uuid) : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
