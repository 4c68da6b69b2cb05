package org.lavenderstage.core.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Builds the digest of a state from its parts, which must be added in a fixed order. */
public final class StateDigest {
  private final MessageDigest digest = sha256();

  /** Creates an empty digest. */
  public StateDigest() {}

  /**
   * Adds one part.
   *
   * @param part a value whose {@code toString()} contains its complete content, such as a record of
   *     plain values
   * @return this digest
   */
  public StateDigest add(Object part) {
    digest.update(part.toString().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    return this;
  }

  /**
   * Completes the digest.
   *
   * @return the digest in hexadecimal digits
   */
  public String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }

  /**
   * Returns the SHA-256 of a text.
   *
   * @param text the text, encoded as UTF-8
   * @return the digest in hexadecimal digits
   */
  public static String sha256Hex(String text) {
    return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 not found, although every Java platform must support it", e);
    }
  }
}
