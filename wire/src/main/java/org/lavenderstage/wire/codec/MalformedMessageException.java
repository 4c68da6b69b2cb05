package org.lavenderstage.wire.codec;

/** Thrown if bytes are not a valid message of the expected type. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param message what was expected or is invalid
   */
  public MalformedMessageException(String message) {
    super(message);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param message what was expected or is invalid
   * @param cause failure of the decoder
   */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
