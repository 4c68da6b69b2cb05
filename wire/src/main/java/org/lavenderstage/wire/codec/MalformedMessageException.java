package org.lavenderstage.wire.codec;

/** Thrown where bytes are not the message that was expected. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception without a cause.
   *
   * @param message what was expected
   */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * Makes an exception with a cause.
   *
   * @param message what was expected
   * @param cause why it could not be read
   */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
