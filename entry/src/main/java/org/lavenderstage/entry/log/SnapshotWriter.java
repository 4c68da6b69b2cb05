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
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Writes the state of each stream again long before the log's retention ends, and after many
 * records, so that a fresh VM can start. One entry of the live ones does it; two at once do no
 * harm.
 */
public final class SnapshotWriter implements AutoCloseable {
  private static final int PART_BYTES = 256 * 1024;
  private static final long STEP_MILLIS = 200;
  private static final int PARTS_OF_RETENTION = 4;

  private final List<SnapshotStream> streams;
  private final long retentionMillis;
  private final long snapshotRecords;
  private final BooleanSupplier chosen;
  private Duty duty;

  /**
   * One stream with its appender.
   *
   * @param replica this entry's copy
   * @param appender appends to the stream
   */
  public record SnapshotStream(StreamReplica<?> replica, StreamAppender appender) {}

  /**
   * Makes a writer that does nothing yet.
   *
   * @param streams the streams
   * @param retentionMillis how long the log keeps a record in milliseconds
   * @param snapshotRecords records after which a state is written again
   * @param chosen whether this entry is the one that writes
   */
  public SnapshotWriter(
      List<SnapshotStream> streams,
      long retentionMillis,
      long snapshotRecords,
      BooleanSupplier chosen) {
    this.streams = List.copyOf(streams);
    this.retentionMillis = retentionMillis;
    this.snapshotRecords = snapshotRecords;
    this.chosen = chosen;
  }

  /** Starts to write. */
  public void start() {
    duty = new Duty("snapshot", this::step);
  }

  private void step() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Math.min(STEP_MILLIS, retentionMillis / PARTS_OF_RETENTION));
    if (chosen.getAsBoolean()) {
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
    boolean old = nowMillis - state.lastSnapshotTimeMillis() > retentionMillis / PARTS_OF_RETENTION;
    boolean many = state.nextOffset() - state.lastSnapshotOffset() > snapshotRecords;
    return old || many;
  }

  private void write(SnapshotStream stream) {
    StreamReplica<?> replica = stream.replica();
    StreamState state = replica.read(LedgerStream::snapshot);
    String digest = replica.read(ledger -> ledger.fold().digest());
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
      awaitReadBack(replica, state.nextOffset());
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

  /** Waits until the commit is read back, so that the same state is not written twice. */
  private void awaitReadBack(StreamReplica<?> replica, long nextOffset) {
    long until =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(retentionMillis / PARTS_OF_RETENTION);
    try {
      while (replica.read(LedgerStream::lastSnapshotOffset) < nextOffset - 1
          && System.nanoTime() - until < 0) {
        TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }
}
