package org.lavenderstage.entry.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.core.pool.JobScheduler;
import org.lavenderstage.core.pool.WorkerListing;
import org.lavenderstage.platform.ListingDecoder;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Passes the changes in the list of workers to the scheduler. Entries that cannot be decoded name
 * no worker. Used by the owner's thread.
 */
final class ListingUpdates {
  private final JobScheduler scheduler;
  private final Set<String> unreadable = new HashSet<>();
  private final Map<String, WorkerListing> listings = new HashMap<>();

  ListingUpdates(JobScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Applies what was read of the list. */
  void apply(TopicReader.Poll poll) {
    switch (poll) {
      case TopicReader.Poll.Snapshot snapshot -> {
        Set<String> gone = new HashSet<>(listings.keySet());
        snapshot.records().forEach(record -> gone.remove(record.key()));
        gone.forEach(this::remove);
        snapshot.records().forEach(this::update);
      }
      case TopicReader.Poll.Changes changes -> changes.records().forEach(this::update);
      case TopicReader.Poll.Failed failed -> {
        // the known listings remain valid while the store is unavailable
      }
    }
  }

  private void update(KeyedRecord record) {
    if (record.value().isEmpty()) {
      remove(record.key());
      return;
    }
    Optional<WorkerListing> listing = ListingDecoder.decode(record.key(), record.value().get());
    if (listing.isEmpty()) {
      if (unreadable.add(record.key())) {
        EventLog.warn(LogEvent.LISTING_UNREADABLE, "key", record.key());
      }
      return;
    }
    unreadable.remove(record.key());
    if (!listing.get().equals(listings.put(record.key(), listing.get()))) {
      scheduler.workerListed(listing.get());
    }
  }

  private void remove(String id) {
    unreadable.remove(id);
    if (listings.remove(id) != null) {
      scheduler.workerUnlisted(id);
    }
  }
}
