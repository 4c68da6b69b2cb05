package org.lavenderstage.entry.duty;

import java.util.concurrent.locks.LockSupport;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** A thread that repeats one step until it is closed. A step that fails is logged and repeated. */
public final class Duty implements AutoCloseable {
  private static final long PAUSE_AFTER_FAILURE_NANOS = 100_000_000;

  /** Longest wait for a step to end, in milliseconds; a stop has some seconds for all duties. */
  private static final long JOIN_MILLIS = 500;

  /** One step of a duty. */
  @FunctionalInterface
  public interface Step {
    /**
     * Does one step; it may block for a short time.
     *
     * @throws InterruptedException where the duty is closed
     */
    void run() throws InterruptedException;
  }

  private final Thread thread;
  private volatile boolean closed;

  /**
   * Starts the thread.
   *
   * @param name name of the thread
   * @param step the step
   */
  public Duty(String name, Step step) {
    thread = Thread.ofPlatform().daemon().name(name).start(() -> loop(step));
  }

  private void loop(Step step) {
    while (!closed) {
      try {
        step.run();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        EventLog.warn(LogEvent.DUTY_FAILED, "duty", thread.getName(), "cause", e);
        LockSupport.parkNanos(PAUSE_AFTER_FAILURE_NANOS);
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(JOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
