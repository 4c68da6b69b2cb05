package org.lavenderstage.entry.log;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordObserver;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateMachine;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.SnapshotSearch;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/**
 * This entry's replica of one stream. A thread of the replica reads the log and applies its
 * records. Other threads read the state under the replica's lock or observe each record.
 *
 * @param <F> type of the stream's state machine
 */
public final class StreamReplica<F extends StateMachine> implements AutoCloseable {
  private static final int PAGE_RECORDS = 1000;
  private static final Duration READ_WAIT = Duration.ofMillis(500);
  private static final long RETRY_MILLIS = 100;

  private final String stream;
  private final Log log;
  private final LedgerStream<F> ledger;
  private final List<RecordObserver> observers = new CopyOnWriteArrayList<>();
  private volatile boolean caughtUp;
  private volatile boolean reachable;
  private volatile long clockOffsetMillis;
  private volatile long endOffset;
  private final List<Runnable> restoreObservers = new CopyOnWriteArrayList<>();
  private volatile Optional<SnapshotSearch> search = Optional.empty();
  private BackgroundThread thread;

  /**
   * Creates a replica that does not read yet.
   *
   * @param stream name of the stream
   * @param log the platform's log
   * @param stateMachine state machine of the stream in its initial state
   */
  public StreamReplica(String stream, Log log, F stateMachine) {
    this.stream = stream;
    this.log = log;
    this.ledger = new LedgerStream<>(stateMachine);
  }

  /** Starts the thread that reads. */
  public void start() {
    thread = new BackgroundThread("read-" + stream, this::readOnce);
  }

  private void readOnce() throws InterruptedException {
    try {
      long from = search.map(SnapshotSearch::nextOffset).orElseGet(this::nextOffset);
      LogPage page = log.read(stream, from, PAGE_RECORDS, READ_WAIT);
      clockOffsetMillis = page.nowMillis() - System.currentTimeMillis();
      endOffset = page.endOffset();
      reachable = true;
      handlePage(page);
    } catch (PlatformUnavailableException e) {
      if (Thread.currentThread().isInterrupted()) {
        return;
      }
      if (reachable) {
        EventLog.warn(LogEvent.LOG_READ_FAILED, "stream", stream, "cause", e.getMessage());
      }
      reachable = false;
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
  }

  private long nextOffset() {
    return read(LedgerStream::nextOffset);
  }

  private void handlePage(LogPage page) {
    if (search.isEmpty() && page.firstKeptOffset() > nextOffset()) {
      EventLog.warn(
          LogEvent.LOG_GAP, "stream", stream, "from", nextOffset(), "to", page.firstKeptOffset());
      caughtUp = false;
      search = Optional.of(new SnapshotSearch(page.firstKeptOffset()));
    }
    if (search.isPresent()) {
      search.get().search(page).ifPresent(this::adopt);
      return;
    }
    page.records().forEach(this::apply);
    caughtUp = caughtUp || nextOffset() >= page.endOffset();
  }

  /**
   * Replaces the state by that of a snapshot or a peer, unless it is older.
   *
   * @param state state of the stream
   * @return whether the state was replaced
   */
  public boolean adopt(StreamState state) {
    synchronized (ledger) {
      if (state.nextOffset() < ledger.nextOffset()) {
        return false;
      }
      ledger.restore(state);
    }
    search = Optional.empty();
    EventLog.info(LogEvent.SNAPSHOT_RESTORED, "stream", stream, "next-offset", state.nextOffset());
    restoreObservers.forEach(Runnable::run);
    return true;
  }

  /**
   * Replaces the state by that of a peer if the log cannot be read. The replica then counts as
   * caught up.
   *
   * @param state the peer's state
   */
  public void adoptFromPeer(StreamState state) {
    if (!reachable && adopt(state)) {
      caughtUp = true;
    }
  }

  /**
   * Adds an observer of restored states.
   *
   * @param observer called whenever the whole state was replaced
   */
  public void observeRestore(Runnable observer) {
    restoreObservers.add(observer);
  }

  private void apply(StoredRecord record) {
    RecordPosition at = new RecordPosition(record.offset(), record.appendTimeMillis());
    try {
      apply(at, LedgerCodec.decode(record.bytes()));
    } catch (MalformedMessageException e) {
      EventLog.warn(LogEvent.LOG_RECORD_MALFORMED, "stream", stream, "offset", record.offset());
      apply(at, new RecordBatch("", Long.MAX_VALUE, List.of(), 1));
    }
  }

  private void apply(RecordPosition at, RecordBatch batch) {
    synchronized (ledger) {
      ledger.apply(
          at,
          batch,
          (position, record, effective) ->
              observers.forEach(observer -> observer.onRecordApplied(position, record, effective)));
    }
  }

  /**
   * Adds an observer of applied records. It is called on this replica's thread and under its lock.
   *
   * @param observer called for every record from now on; must not block
   */
  public void observe(RecordObserver observer) {
    observers.add(observer);
  }

  /**
   * Reads the stream's state under the replica's lock.
   *
   * @param query reads what it needs and keeps no reference to the state
   * @param <T> type of the result
   * @return the query's result
   */
  public <T> T read(Function<LedgerStream<F>, T> query) {
    synchronized (ledger) {
      return query.apply(ledger);
    }
  }

  /**
   * Returns whether the replica may be used.
   *
   * @return whether it has reached the end of the log once, or holds a peer's state
   */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /**
   * Returns whether the log can be read.
   *
   * @return whether the last read got a reply
   */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Returns the lag behind the end of the log.
   *
   * @return number of records not applied yet, as of the last read
   */
  public long lag() {
    return Math.max(0, endOffset - read(LedgerStream::nextOffset));
  }

  /**
   * Returns an estimate of the log's time.
   *
   * @return milliseconds since 1970 by the log's clock
   */
  public long logNowMillis() {
    return System.currentTimeMillis() + clockOffsetMillis;
  }

  /**
   * Returns the name of the stream.
   *
   * @return the name
   */
  public String stream() {
    return stream;
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
