package org.lavenderstage.entry.config;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.wire.platform.LogPage;

/** Delegates to a log and records the end of the stream as of the last read. */
public final class EndTrackingLog implements Log {
  private final Log log;
  private volatile Optional<ObservedEnd> lastEnd = Optional.empty();

  /**
   * Wraps a log that serves the replica of one stream.
   *
   * @param log the platform's log
   */
  public EndTrackingLog(Log log) {
    this.log = log;
  }

  @Override
  public long append(String stream, byte[] bytes) throws PlatformUnavailableException {
    return log.append(stream, bytes);
  }

  @Override
  public LogPage read(String stream, long fromOffset, int max, Duration wait)
      throws PlatformUnavailableException {
    long startedAtMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    LogPage page = log.read(stream, fromOffset, max, wait);
    lastEnd = Optional.of(new ObservedEnd(page.endOffset(), startedAtMillis));
    return page;
  }

  Optional<ObservedEnd> lastEnd() {
    return lastEnd;
  }

  /**
   * The end of the stream as observed by one read.
   *
   * @param endOffset offset of the next record to be appended
   * @param readAtMillis monotonic time at which the read began, in milliseconds
   */
  record ObservedEnd(long endOffset, long readAtMillis) {}
}
