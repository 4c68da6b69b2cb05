package org.lavenderstage.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.lavenderstage.clients.Log;
import org.lavenderstage.core.ledger.StateMachine;
import org.lavenderstage.entry.admin.StateDump;
import org.lavenderstage.entry.admin.StateDumps;
import org.lavenderstage.entry.log.AppendBudget;
import org.lavenderstage.entry.log.SnapshotWriter;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.wire.settings.EntrySettings;

/** An entry's replicas of the streams and its appenders, which share one append budget. */
final class EntryStreams implements AutoCloseable {
  private final String entry;
  private final EntrySettings settings;
  private final Log log;
  private final AppendBudget budget;
  private final List<StreamReplica<?>> replicas = new ArrayList<>();
  private final List<SnapshotWriter.SnapshotStream> snapshotStreams = new ArrayList<>();

  EntryStreams(String entry, EntrySettings settings, Log log, IntSupplier liveEntryCount) {
    this.entry = entry;
    this.settings = settings;
    this.log = log;
    this.budget = new AppendBudget(settings.appendBudget(), liveEntryCount, System::nanoTime);
  }

  /** Creates a replica that does not read yet. */
  <F extends StateMachine> StreamReplica<F> replica(String stream, Log readFrom, F stateMachine) {
    StreamReplica<F> replica = new StreamReplica<>(stream, readFrom, stateMachine);
    replicas.add(replica);
    return replica;
  }

  /** Creates the appender of a replica's stream and adds the stream to those that get snapshots. */
  StreamAppender appender(StreamReplica<?> replica) {
    StreamAppender appender = new StreamAppender(entry, replica, log, budget, settings.ringSize());
    snapshotStreams.add(new SnapshotWriter.SnapshotStream(replica, appender));
    return appender;
  }

  void start() {
    replicas.forEach(StreamReplica::start);
  }

  List<StreamReplica<?>> replicas() {
    return List.copyOf(replicas);
  }

  List<SnapshotWriter.SnapshotStream> snapshotStreams() {
    return List.copyOf(snapshotStreams);
  }

  AppendBudget budget() {
    return budget;
  }

  /** Returns whether all replicas may be used. */
  boolean isCaughtUp() {
    return replicas.stream().allMatch(StreamReplica::isCaughtUp);
  }

  /** Returns the number of records in the log that the replicas have not applied yet. */
  long lag() {
    return replicas.stream().mapToLong(StreamReplica::lag).sum();
  }

  List<StateDump.StreamDump> dump() {
    List<StateDump.StreamDump> dumps = new ArrayList<>();
    replicas.forEach(replica -> dumps.add(StateDumps.of(replica)));
    return dumps;
  }

  @Override
  public void close() {
    snapshotStreams.forEach(stream -> stream.appender().close());
    replicas.forEach(StreamReplica::close);
  }
}
