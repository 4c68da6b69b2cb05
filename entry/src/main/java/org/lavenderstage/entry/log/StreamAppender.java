package org.lavenderstage.entry.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SheetPart;
import org.lavenderstage.core.record.SnapshotPart;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Appends this entry's proposals to one stream in batches, one append at a time. An append without
 * a reply is repeated with the same sequence number until the log replies or the batch is read from
 * the log, so that a lost reply neither loses nor duplicates a proposal.
 */
public final class StreamAppender implements AutoCloseable {
  private static final int MAX_BATCH_RECORDS = 500;
  private static final long IDLE_MILLIS = 2;
  private static final long RETRY_MILLIS = 50;

  private final String writer;
  private final StreamReplica<?> replica;
  private final Log log;
  private final AppendBudget budget;
  private final BoundedRing<LedgerRecord> queue;
  private final BackgroundThread thread;
  private final List<LedgerRecord> batch = new ArrayList<>();
  private long sequence;
  private volatile boolean failing;

  /**
   * Starts the thread that appends.
   *
   * @param writer incarnation of this entry
   * @param replica this entry's replica of the stream
   * @param log the platform's log
   * @param budget limits the rate of this entry's appends
   * @param queueSize maximum number of waiting proposals, a power of two
   */
  public StreamAppender(
      String writer, StreamReplica<?> replica, Log log, AppendBudget budget, int queueSize) {
    this.writer = writer;
    this.replica = replica;
    this.log = log;
    this.budget = budget;
    this.queue = new BoundedRing<>(queueSize);
    this.thread = new BackgroundThread("append-" + replica.stream(), this::appendOnce);
  }

  /**
   * Queues a proposal. Its result is known once the replica has read it from the log.
   *
   * @param record the proposal
   * @return false if the queue is full
   */
  public boolean offer(LedgerRecord record) {
    return queue.offer(record);
  }

  /**
   * Returns whether appends fail at present.
   *
   * @return whether the last append got no reply
   */
  public boolean isFailing() {
    return failing;
  }

  private void appendOnce() throws InterruptedException {
    fillBatch();
    if (batch.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
      return;
    }
    sequence++;
    byte[] bytes = LedgerCodec.encode(RecordBatch.of(writer, sequence, batch));
    batch.clear();
    while (!append(bytes)) {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
  }

  /** Fills the batch. A part ends it, so that a log record holds at most one part. */
  private void fillBatch() {
    while (batch.size() < MAX_BATCH_RECORDS && !endsWithPart() && queue.drain(1, batch::add) > 0) {
      // drains one proposal at a time to check for a part after each
    }
  }

  private boolean endsWithPart() {
    if (batch.isEmpty()) {
      return false;
    }
    LedgerRecord last = batch.get(batch.size() - 1);
    return last instanceof SnapshotPart || last instanceof SheetPart;
  }

  private boolean append(byte[] bytes) throws InterruptedException {
    if (isApplied()) {
      failing = false;
      return true;
    }
    while (!budget.tryAcquire()) {
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
    }
    try {
      log.append(replica.stream(), bytes);
      failing = false;
      return true;
    } catch (PlatformUnavailableException e) {
      if (!failing) {
        EventLog.warn(
            LogEvent.LOG_APPEND_FAILED, "stream", replica.stream(), "cause", e.getMessage());
      }
      failing = true;
      return false;
    }
  }

  private boolean isApplied() {
    return replica.read(stream -> stream.lastSequence(writer)) >= sequence;
  }

  @Override
  public void close() {
    thread.close();
  }
}
