package org.lavenderstage.clients;

/** Thrown if the platform gave no valid response; the action may still have taken effect. */
public final class PlatformUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message method and address of the call that failed
   * @param cause cause of the failure, null if the response has an unexpected status
   */
  public PlatformUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
