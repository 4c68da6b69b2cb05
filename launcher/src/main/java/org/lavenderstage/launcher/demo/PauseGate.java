package org.lavenderstage.launcher.demo;

/** Holds up the calls of one entry while it is frozen. */
final class FreezeGate {
  private boolean frozen;

  synchronized void freeze() {
    frozen = true;
  }

  synchronized void thaw() {
    frozen = false;
    notifyAll();
  }

  /** Returns at once, or after the thaw where the gate is frozen. */
  synchronized void pass() {
    try {
      while (frozen) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
