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
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * The entries that have announced themselves in the store. An entry that died may still be listed.
 */
final class Members implements AutoCloseable {
  /** Time between two looks at the announcements, in milliseconds. */
  private static final int POLL_MILLIS = 1_000;

  /** Pause after a failed call in milliseconds. */
  private static final long RETRY_MILLIS = 150;

  private final KeyedLog log;
  private final KeyedCache cache;
  private final String entry;
  private final String peerAddress;
  private final Map<String, MemberRecord> known = new ConcurrentHashMap<>();
  private volatile boolean announced;
  private volatile long term;
  private Duty duty;

  Members(KeyedLog log, String entry, String peerAddress) {
    this.log = log;
    this.cache = new KeyedCache(log, LogTopic.MEMBERS);
    this.entry = entry;
    this.peerAddress = peerAddress;
  }

  void start() {
    duty = new Duty("members", this::step);
  }

  /** Tells whether this entry's announcement is stored and the others' were read. */
  boolean isComplete() {
    return announced && cache.next() >= 0;
  }

  /** Returns the other entries, dead ones possibly among them. */
  Collection<MemberRecord> others() {
    return known.values().stream().filter(m -> !m.entry().equals(entry)).toList();
  }

  /**
   * Tells whether a later process on the same VM has announced itself, so that an incarnation has
   * certainly ended. One whose announcement was not read yet is not replaced.
   */
  boolean isReplaced(String incarnation) {
    return Incarnation.parse(incarnation)
        .map(ended -> known.keySet().stream().anyMatch(other -> ended.isBefore(other)))
        .orElse(false);
  }

  /** Returns the member that announced the highest term. */
  Optional<MemberRecord> highestTerm() {
    return known.values().stream()
        .filter(m -> m.term() > 0)
        .max((a, b) -> Long.compare(a.term(), b.term()));
  }

  /** Announces that this entry owns the jobs, or with 0 that it does not. */
  void announce(long ownedTerm) {
    term = ownedTerm;
    announced = false;
  }

  private void step() throws InterruptedException {
    if (!announced) {
      announceNow();
    }
    switch (cache.poll(announced ? POLL_MILLIS : 0)) {
      case KeyedCache.Poll.Whole whole -> {
        known.clear();
        whole.records().forEach(this::learn);
      }
      case KeyedCache.Poll.Changes changes -> changes.records().forEach(this::learn);
      case KeyedCache.Poll.Failed failed -> Thread.sleep(RETRY_MILLIS);
    }
  }

  private void announceNow() throws InterruptedException {
    long now = term;
    MemberRecord record = new MemberRecord(entry, peerAddress, now);
    KeyedRecord keyed = new KeyedRecord(entry, Optional.of(StoredCodec.encode(record)));
    KeyedLog.Append result =
        KeyedCache.await(log.append(LogTopic.MEMBERS, OptionalLong.empty(), List.of(keyed)));
    if (result instanceof KeyedLog.Append.Stored) {
      announced = now == term;
    } else {
      Thread.sleep(RETRY_MILLIS);
    }
  }

  private void learn(KeyedRecord record) {
    if (record.value().isEmpty()) {
      known.remove(record.key());
      return;
    }
    try {
      if (StoredCodec.decode(record.value().get()).orElse(null) instanceof MemberRecord member) {
        known.values().removeIf(old -> old.peerAddress().equals(member.peerAddress()));
        known.put(record.key(), member);
      }
    } catch (MalformedMessageException e) {
      EventLog.warn(LogEvent.LOG_RECORD_MALFORMED, "topic", "members", "key", record.key());
    }
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }
}
