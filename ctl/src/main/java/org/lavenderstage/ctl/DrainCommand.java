package org.lavenderstage.ctl;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.PlatformUnavailableException;

/** Implements {@code drain}: makes an entry unready and, on request, waits until it is idle. */
final class DrainCommand {
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 100;

  private final PrintStream out;
  private final PrintStream err;

  DrainCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  int run(EntryClient entry, boolean wait) throws PlatformUnavailableException {
    entry.drain();
    if (!wait) {
      out.println(entry.address() + " drains");
      return 0;
    }
    long deadlineNanos = System.nanoTime() + IDLE_TIMEOUT.toNanos();
    EntryView view = entry.view();
    while (view.queued() + view.inFlight() > 0 && System.nanoTime() < deadlineNanos) {
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new PlatformUnavailableException("interrupted", e);
      }
      view = entry.view();
    }
    if (view.queued() + view.inFlight() > 0) {
      err.println(
          entry.address() + " still has " + (view.queued() + view.inFlight()) + " requests");
      return CtlCommand.FAILED;
    }
    out.println(entry.address() + " is idle and can be stopped");
    return 0;
  }
}
