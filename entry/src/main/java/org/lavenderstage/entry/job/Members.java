package org.lavenderstage.entry.job;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.MemberRecord;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * The entries that have announced themselves in the store. An entry that has ended may still be
 * listed.
 */
final class Members implements AutoCloseable {
  /** How long a read waits for new announcements, in milliseconds. */
  private static final int READ_WAIT_MILLIS = 1_000;

  /** Pause after a failed call, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private final KeyedLog log;
  private final TopicReader reader;
  private final String entry;
  private final String peerAddress;
  private final int processorMillis;
  private final Map<String, MemberRecord> members = new ConcurrentHashMap<>();
  private volatile boolean announced;
  private volatile long term;
  private BackgroundThread thread;

  Members(KeyedLog log, String entry, String peerAddress, int processorMillis) {
    this.log = log;
    this.reader = new TopicReader(log, LogTopic.MEMBERS);
    this.entry = entry;
    this.peerAddress = peerAddress;
    this.processorMillis = processorMillis;
  }

  void start() {
    thread = new BackgroundThread("members", this::step);
  }

  /** Returns whether this entry's announcement is stored and those of the others were read. */
  boolean isInitialized() {
    return announced && reader.nextOffset() >= 0;
  }

  /** Returns the other entries, possibly including some that have ended. */
  Collection<MemberRecord> others() {
    return members.values().stream().filter(m -> !m.entry().equals(entry)).toList();
  }

  /**
   * Returns whether a later process on the same VM has announced itself, so that an incarnation has
   * certainly ended. An incarnation whose own announcement was not read yet is not replaced.
   */
  boolean isReplaced(String incarnation) {
    return Incarnation.parse(incarnation)
        .map(parsed -> members.keySet().stream().anyMatch(other -> parsed.isBefore(other)))
        .orElse(false);
  }

  /** Returns the member that announced the highest term. */
  Optional<MemberRecord> memberWithHighestTerm() {
    return members.values().stream()
        .filter(m -> m.term() > 0)
        .max((a, b) -> Long.compare(a.term(), b.term()));
  }

  /** Announces the term for which this entry owns the jobs, 0 if it does not own them. */
  void announce(long ownedTerm) {
    term = ownedTerm;
    announced = false;
  }

  private void step() throws InterruptedException {
    if (!announced) {
      appendAnnouncement();
    }
    switch (reader.poll(announced ? READ_WAIT_MILLIS : 0)) {
      case TopicReader.Poll.Snapshot snapshot -> {
        members.clear();
        snapshot.records().forEach(this::update);
      }
      case TopicReader.Poll.Changes changes -> changes.records().forEach(this::update);
      case TopicReader.Poll.Failed failed -> Thread.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private void appendAnnouncement() throws InterruptedException {
    long announcedTerm = term;
    MemberRecord record = new MemberRecord(entry, peerAddress, announcedTerm, processorMillis);
    KeyedRecord keyed = new KeyedRecord(entry, Optional.of(StoredCodec.encode(record)));
    KeyedLog.Append result =
        TopicReader.awaitResult(log.append(LogTopic.MEMBERS, OptionalLong.empty(), List.of(keyed)));
    if (result instanceof KeyedLog.Append.Stored) {
      announced = announcedTerm == term;
    } else {
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private void update(KeyedRecord record) {
    if (record.value().isEmpty()) {
      members.remove(record.key());
      return;
    }
    try {
      if (StoredCodec.decode(record.value().get()).orElse(null) instanceof MemberRecord member) {
        members.values().removeIf(old -> old.peerAddress().equals(member.peerAddress()));
        members.put(record.key(), member);
      }
    } catch (MalformedMessageException e) {
      EventLog.warn(LogEvent.LOG_RECORD_MALFORMED, "topic", "members", "key", record.key());
    }
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
