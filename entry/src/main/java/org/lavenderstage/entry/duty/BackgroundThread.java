package org.lavenderstage.entry.duty;

import java.util.concurrent.locks.LockSupport;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * A daemon thread that repeats a step until it is closed. A failure, also an unexpected error, is
 * logged and the step retried.
 */
public final class BackgroundThread implements AutoCloseable {
  private static final long FAILURE_DELAY_NANOS = 100_000_000;

  /**
   * Maximum wait for the thread to end, in milliseconds; a stop has a few seconds for all threads.
   */
  private static final long JOIN_MILLIS = 500;

  /** A step that a thread repeats. */
  @FunctionalInterface
  public interface Step {
    /**
     * Executes the step. May block for a short time.
     *
     * @throws InterruptedException if the thread is closed
     */
    void run() throws InterruptedException;
  }

  private final Thread thread;
  private volatile boolean closed;

  /**
   * Starts the thread.
   *
   * @param name name of the thread
   * @param step the step to repeat
   */
  public BackgroundThread(String name, Step step) {
    thread = Thread.ofPlatform().daemon().name(name).start(() -> loop(step));
  }

  private void loop(Step step) {
    while (!closed) {
      try {
        step.run();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException | Error e) {
        // An error, such as a lack of memory, must not end the duty of a process that goes on.
        EventLog.warn(LogEvent.DUTY_FAILED, "duty", thread.getName(), "cause", e);
        LockSupport.parkNanos(FAILURE_DELAY_NANOS);
      }
    }
  }

  /**
   * Returns whether the thread has ended.
   *
   * @return false as long as a step continues, also after the time that closing waits for it
   */
  public boolean hasEnded() {
    return !thread.isAlive();
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
