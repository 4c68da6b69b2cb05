package org.lavenderstage.standin.fault;

/** Thrown by a fake that is down, or whose answer is lost. */
public final class FakeDownException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception.
   *
   * @param message which fault is on
   */
  public FakeDownException(String message) {
    super(message);
  }
}
