package org.lavenderstage.core.sheet;

/**
 * A sheet that took effect.
 *
 * @param version number of the version, from one; 0 before the first
 * @param text whole text of the sheet
 * @param digest SHA-256 of the text in hexadecimal digits
 * @param committedAtMillis append time of the commit
 */
public record SheetVersion(long version, String text, String digest, long committedAtMillis) {
  /** Before the first publication. */
  public static final SheetVersion NONE = new SheetVersion(0, "", "", 0);

  @Override
  public String toString() {
    return version + " " + digest;
  }
}
