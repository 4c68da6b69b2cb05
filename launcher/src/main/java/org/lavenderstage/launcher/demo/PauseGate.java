package org.lavenderstage.launcher.demo;

/** Blocks the calls of one entry while it is paused. */
final class PauseGate {
  private boolean paused;

  synchronized void pause() {
    paused = true;
  }

  synchronized void resume() {
    paused = false;
    notifyAll();
  }

  /** Blocks while the entry is paused; returns immediately otherwise. */
  synchronized void pass() {
    try {
      while (paused) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
