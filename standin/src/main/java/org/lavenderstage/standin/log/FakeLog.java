package org.lavenderstage.standin.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.standin.fault.FaultInjector;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.fault.InjectedFaultException;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/** In-memory log with a retention time, append times that never decrease, and fault injection. */
public final class FakeLog implements Log {
  private static final long MAX_PAGE_BYTES = 4 * 1024 * 1024;

  private final Map<String, Stream> streams = new HashMap<>();
  private final LongSupplier clockMillis;
  private final long retentionMillis;
  private final FaultSwitch faults;
  private final FaultInjector faultInjector;
  private long lastTimeMillis;
  private long appends;

  /**
   * Creates an empty log.
   *
   * @param clockMillis clock, in milliseconds since 1970
   * @param retentionMillis time for which records are kept, in milliseconds
   * @param faults faults to inject
   * @param seed seed that selects the calls into which faults are injected
   */
  public FakeLog(LongSupplier clockMillis, long retentionMillis, FaultSwitch faults, long seed) {
    this.clockMillis = clockMillis;
    this.retentionMillis = retentionMillis;
    this.faults = faults;
    this.faultInjector = new FaultInjector(faults, seed);
  }

  @Override
  public long append(String stream, byte[] bytes) throws PlatformUnavailableException {
    try {
      return faultInjector.pass(() -> appendNow(stream, bytes));
    } catch (InjectedFaultException e) {
      throw new PlatformUnavailableException("append to " + stream, e);
    }
  }

  @Override
  public LogPage read(String stream, long fromOffset, int max, Duration wait)
      throws PlatformUnavailableException {
    try {
      return faultInjector.pass(() -> readOrWait(stream, fromOffset, max, wait));
    } catch (InjectedFaultException e) {
      throw new PlatformUnavailableException("read of " + stream, e);
    }
  }

  private synchronized long appendNow(String name, byte[] bytes) {
    Stream stream = streams.computeIfAbsent(name, key -> new Stream());
    long offset = stream.firstKeptOffset + stream.records.size();
    stream.records.add(new StoredRecord(offset, now(), bytes.clone()));
    appends++;
    notifyAll();
    return offset;
  }

  private synchronized LogPage readOrWait(String name, long fromOffset, int max, Duration wait) {
    long until = System.nanoTime() + wait.toNanos();
    Stream stream = streams.computeIfAbsent(name, key -> new Stream());
    awaitRecord(stream, fromOffset, until);
    stream.expire(now() - retentionMillis);
    int from =
        (int) Math.min(Math.max(0, fromOffset - stream.firstKeptOffset), stream.records.size());
    int to = stream.pageEnd(from, Math.min(stream.records.size(), from + max));
    List<StoredRecord> page = List.copyOf(stream.records.subList(from, to));
    return new LogPage(stream.firstKeptOffset, stream.endOffset(), now(), page);
  }

  private synchronized void awaitRecord(Stream stream, long fromOffset, long untilNanos) {
    try {
      long leftMillis = remainingMillis(untilNanos);
      while (stream.endOffset() <= fromOffset
          && leftMillis > 0
          && !faults.isOn(FaultSwitch.Kind.DOWN)) {
        wait(leftMillis);
        leftMillis = remainingMillis(untilNanos);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InjectedFaultException("interrupted");
    }
  }

  private static long remainingMillis(long untilNanos) {
    return TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
  }

  private long now() {
    lastTimeMillis = Math.max(lastTimeMillis, clockMillis.getAsLong());
    return lastTimeMillis;
  }

  /**
   * Returns how many appends took effect.
   *
   * @return the number of appends
   */
  public synchronized long appends() {
    return appends;
  }

  /** The records of one stream that are still kept. */
  private static final class Stream {
    private final List<StoredRecord> records = new ArrayList<>();
    private long firstKeptOffset;

    private long endOffset() {
      return firstKeptOffset + records.size();
    }

    /** Returns the end of a page that is limited in bytes but holds at least one record. */
    private int pageEnd(int from, int max) {
      int to = from;
      long bytes = 0;
      while (to < max && (to == from || bytes + records.get(to).bytes().length <= MAX_PAGE_BYTES)) {
        bytes += records.get(to).bytes().length;
        to++;
      }
      return to;
    }

    private void expire(long beforeMillis) {
      int expired = 0;
      while (expired < records.size() && records.get(expired).appendTimeMillis() < beforeMillis) {
        expired++;
      }
      records.subList(0, expired).clear();
      firstKeptOffset += expired;
    }
  }
}
