package org.lavenderstage.standin.fault;

/** Thrown when a fake simulates an outage or the loss of a reply. */
public final class InjectedFaultException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message description of the injected fault
   */
  public InjectedFaultException(String message) {
    super(message);
  }
}
