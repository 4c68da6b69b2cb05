package org.lavenderstage.entry.job;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.platform.EvacuationDecoder;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * The failure domains that the operator wants evacuated, as of the latest read of the
 * configuration. While the store is unavailable, the last requests stay in force. Written by one
 * thread, read by any.
 */
final class EvacuationRequests {
  private volatile Set<String> domains = Set.of();
  private volatile long readMillis = Long.MIN_VALUE;

  /**
   * Applies the result of a read.
   *
   * @param poll what was read of the configuration
   * @param sentMillis monotonic time in milliseconds at which the read began
   */
  void apply(TopicReader.Poll poll, long sentMillis) {
    switch (poll) {
      case TopicReader.Poll.Snapshot snapshot ->
          replace(merge(Set.of(), snapshot.records()), sentMillis);
      case TopicReader.Poll.Changes changes ->
          replace(merge(domains, changes.records()), sentMillis);
      case TopicReader.Poll.Failed failed -> {
        // the last requests remain in force
      }
    }
  }

  private static Set<String> merge(Set<String> known, List<KeyedRecord> records) {
    Set<String> merged = new TreeSet<>(known);
    for (KeyedRecord record : records) {
      EvacuationDecoder.domain(record)
          .ifPresent(
              domain -> {
                if (record.value().isPresent()) {
                  merged.add(domain);
                } else {
                  merged.remove(domain);
                }
              });
    }
    return merged;
  }

  private void replace(Set<String> next, long sentMillis) {
    if (!next.equals(domains)) {
      EventLog.info(LogEvent.EVACUATIONS_READ, "domains", String.join(" ", next));
      domains = Set.copyOf(next);
    }
    readMillis = sentMillis;
  }

  /** Returns the names of the failure domains. */
  Set<String> domains() {
    return domains;
  }

  /** Returns whether a read that began at a monotonic time in milliseconds or later succeeded. */
  boolean isReadSince(long monotonicMillis) {
    return readMillis >= monotonicMillis;
  }
}
