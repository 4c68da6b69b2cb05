package org.lavenderstage.core.sheet;

/**
 * A published sheet that took effect.
 *
 * @param version number of the version, from one; 0 before the first publication
 * @param text complete canonical text of the sheet
 * @param digest SHA-256 of the text in hexadecimal digits
 * @param committedAtMillis append time of the commit in milliseconds since 1970
 */
public record SheetVersion(long version, String text, String digest, long committedAtMillis) {
  /** The version before the first publication. */
  public static final SheetVersion NONE = new SheetVersion(0, "", "", 0);

  @Override
  public String toString() {
    return version + " " + digest;
  }
}
