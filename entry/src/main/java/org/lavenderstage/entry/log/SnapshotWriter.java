package org.lavenderstage.entry.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SnapshotCommitted;
import org.lavenderstage.core.record.SnapshotPart;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Writes snapshots of the streams to the log, so that a new VM can start from a log whose older
 * records have expired. A snapshot is due long before the retention time of the previous one ends,
 * and after a number of records. One of the live entries writes them; it is harmless if two write
 * at the same time.
 */
public final class SnapshotWriter implements AutoCloseable {
  private static final int PART_BYTES = 256 * 1024;
  private static final long POLL_MILLIS = 200;
  private static final int SNAPSHOTS_PER_RETENTION = 4;

  private final List<SnapshotStream> streams;
  private final long retentionMillis;
  private final long snapshotRecords;
  private final BooleanSupplier isWriter;
  private BackgroundThread thread;

  /**
   * A stream with its appender.
   *
   * @param replica this entry's replica of the stream
   * @param appender appends to the stream
   */
  public record SnapshotStream(StreamReplica<?> replica, StreamAppender appender) {}

  /**
   * Creates a writer that does not run yet.
   *
   * @param streams the streams to write
   * @param retentionMillis time for which the log keeps a record, in milliseconds
   * @param snapshotRecords number of records after which a new snapshot is due
   * @param isWriter returns whether this entry is the one that writes
   */
  public SnapshotWriter(
      List<SnapshotStream> streams,
      long retentionMillis,
      long snapshotRecords,
      BooleanSupplier isWriter) {
    this.streams = List.copyOf(streams);
    this.retentionMillis = retentionMillis;
    this.snapshotRecords = snapshotRecords;
    this.isWriter = isWriter;
  }

  /** Starts the thread that writes the snapshots. */
  public void start() {
    thread = new BackgroundThread("snapshot", this::writeDueSnapshots);
  }

  private void writeDueSnapshots() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Math.min(POLL_MILLIS, retentionMillis / SNAPSHOTS_PER_RETENTION));
    if (isWriter.getAsBoolean()) {
      streams.stream().filter(this::isDue).forEach(this::write);
    }
  }

  private boolean isDue(SnapshotStream stream) {
    StreamReplica<?> replica = stream.replica();
    if (!replica.isCaughtUp() || !replica.isReachable() || stream.appender().isFailing()) {
      return false;
    }
    long now = replica.logNowMillis();
    return replica.read(state -> isDue(state, now));
  }

  private boolean isDue(LedgerStream<?> state, long nowMillis) {
    if (state.nextOffset() == 0) {
      return false;
    }
    boolean tooOld =
        nowMillis - state.lastSnapshotTimeMillis() > retentionMillis / SNAPSHOTS_PER_RETENTION;
    boolean tooManyRecords = state.nextOffset() - state.lastSnapshotOffset() > snapshotRecords;
    return tooOld || tooManyRecords;
  }

  private void write(SnapshotStream stream) {
    StreamReplica<?> replica = stream.replica();
    StreamState state = replica.read(LedgerStream::snapshot);
    String digest = replica.read(ledger -> ledger.stateMachine().digest());
    List<LedgerRecord> records = records(StateCodec.encode(state), state.nextOffset(), digest);
    boolean offered = records.stream().allMatch(stream.appender()::offer);
    if (offered) {
      EventLog.info(
          LogEvent.SNAPSHOT_WRITTEN,
          "stream",
          replica.stream(),
          "next-offset",
          state.nextOffset(),
          "parts",
          records.size() - 1);
      awaitCommitApplied(replica, state.nextOffset());
    }
  }

  static List<LedgerRecord> records(byte[] state, long nextOffset, String digest) {
    String snapshot = UUID.randomUUID().toString();
    List<LedgerRecord> records = new ArrayList<>();
    for (int from = 0; from < state.length; from += PART_BYTES) {
      byte[] part = Arrays.copyOfRange(state, from, Math.min(state.length, from + PART_BYTES));
      records.add(new SnapshotPart(snapshot, records.size(), part));
    }
    records.add(new SnapshotCommitted(snapshot, records.size(), nextOffset - 1, digest));
    return records;
  }

  /** Waits until the commit is read from the log, so that the same state is not written twice. */
  private void awaitCommitApplied(StreamReplica<?> replica, long nextOffset) {
    long deadlineNanos =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(retentionMillis / SNAPSHOTS_PER_RETENTION);
    try {
      while (replica.read(LedgerStream::lastSnapshotOffset) < nextOffset - 1
          && System.nanoTime() - deadlineNanos < 0) {
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
