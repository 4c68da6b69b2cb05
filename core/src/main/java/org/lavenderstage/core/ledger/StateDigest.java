package org.lavenderstage.core.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Builds the digest of a folded state from its parts, taken in a fixed order. */
public final class StateDigest {
  private final MessageDigest digest = sha256();

  /** Starts an empty digest. */
  public StateDigest() {}

  /**
   * Adds one part.
   *
   * @param part a value whose text names its whole content, such as a record of plain values
   * @return this digest
   */
  public StateDigest add(Object part) {
    digest.update(part.toString().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    return this;
  }

  /**
   * Ends the digest.
   *
   * @return hexadecimal digits
   */
  public String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }

  /**
   * Returns the SHA-256 of a text.
   *
   * @param text the text, taken as UTF-8
   * @return hexadecimal digits
   */
  public static String sha256Hex(String text) {
    return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
