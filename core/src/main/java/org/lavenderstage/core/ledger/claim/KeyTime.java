package org.lavenderstage.core.ledger.claim;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Parses the time in a UUIDv7 key (RFC 9562). A key whose time lies outside the window of kept
 * claims is rejected, so that a request runs at most once even after the log has dropped its claim.
 */
public final class KeyTime {
  private static final int VERSION = 7;
  private static final int VARIANT = 2;
  private static final int TIME_SHIFT = 16;

  private KeyTime() {}

  /**
   * Converts a caller's key to the canonical form that is used in the log.
   *
   * @param key the key as the caller wrote it
   * @return the key in lower case, empty if it is not a UUIDv7
   */
  public static Optional<String> canonical(String key) {
    String lower = key.toLowerCase(Locale.ROOT);
    return millis(lower).isPresent() ? Optional.of(lower) : Optional.empty();
  }

  /**
   * Parses the time in a key.
   *
   * @param key the key in its canonical form
   * @return milliseconds since 1970, empty if the key is not a UUIDv7 or not in canonical form
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
